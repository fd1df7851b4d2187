// Package completions is the front end for the completions API: it reads as
// much of a request body as routing needs and assembles whole answers from
// streamed ones. It holds no decisions.
package completions

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

const (
	// BlockBytes is the prompt length that one cache block covers.
	BlockBytes = 256
	// MaxBlocks bounds the prefix blocks that are computed for a prompt.
	MaxBlocks = 64
	// bytesPerToken is how many bytes of a prompt cost one token.
	bytesPerToken = 4
)

// ErrMalformed is returned for a body that is not a completions request.
var ErrMalformed = eris.New("malformed completions request")

// Request is what routing needs to know of a request body.
type Request struct {
	Model string
	// Chat tells that the body holds messages in place of a prompt.
	Chat   bool
	Prompt string
	// MaxTokens is zero if the caller set none.
	MaxTokens int
	Stream    bool
	// Assemblable tells that the answer can be assembled from a stream without
	// loss: one choice, no log probabilities.
	Assemblable bool
}

// PromptTokens returns the estimated cost of the prompt in tokens.
func (r Request) PromptTokens() int {
	return (len(r.Prompt) + bytesPerToken - 1) / bytesPerToken
}

// PrefixBlocks returns the cache blocks that the prompt begins with, the
// shortest first.
func (r Request) PrefixBlocks() []string {
	count := min(len(r.Prompt)/BlockBytes, MaxBlocks)
	blocks := make([]string, 0, count)
	digest := xxhash.New()
	for i := range count {
		_, _ = digest.WriteString(r.Prompt[i*BlockBytes : (i+1)*BlockBytes])
		blocks = append(blocks, fmt.Sprintf("%016x", digest.Sum64()))
	}
	return blocks
}

type body struct {
	Model     string          `json:"model"`
	Prompt    *string         `json:"prompt"`
	Messages  []chatMessage   `json:"messages"`
	MaxTokens *int            `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	N         *int            `json:"n"`
	Logprobs  json.RawMessage `json:"logprobs"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// text returns the content if it is a string, else its JSON.
func (m chatMessage) text() string {
	var text string
	if json.Unmarshal(m.Content, &text) != nil {
		return string(m.Content)
	}
	return text
}

// Parse reads a request body. The error wraps ErrMalformed and tells the
// caller what is wrong.
func Parse(raw []byte) (Request, error) {
	var b body
	if err := json.Unmarshal(raw, &b); err != nil {
		return Request{}, eris.Wrap(ErrMalformed, err.Error())
	}
	request := Request{Model: b.Model, Stream: b.Stream, Assemblable: isAssemblable(b)}
	switch {
	case b.Model == "":
		return Request{}, eris.Wrap(ErrMalformed, "model is missing")
	case b.MaxTokens != nil && *b.MaxTokens < 1:
		return Request{}, eris.Wrap(ErrMalformed, "max_tokens must be positive")
	case b.Prompt != nil:
		request.Prompt = *b.Prompt
	case len(b.Messages) > 0:
		request.Chat = true
		request.Prompt = joinMessages(b.Messages)
	default:
		return Request{}, eris.Wrap(ErrMalformed, "prompt or messages is missing")
	}
	if b.MaxTokens != nil {
		request.MaxTokens = *b.MaxTokens
	}
	return request, nil
}

func isAssemblable(b body) bool {
	return (b.N == nil || *b.N == 1) && (b.Logprobs == nil || string(b.Logprobs) == "null" ||
		string(b.Logprobs) == "false")
}

// joinMessages returns the prompt that engines make of messages: a line each.
func joinMessages(messages []chatMessage) string {
	var text bytes.Buffer
	for _, m := range messages {
		text.WriteString(m.Role + ": " + m.text() + "\n")
	}
	return text.String()
}
