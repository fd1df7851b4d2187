// Package completions is the front end for the completions API. It parses the
// parts of a request body that routing needs and assembles complete responses
// from streams. It makes no decisions.
package completions

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

const (
	// BlockBytes is the number of prompt bytes in one cache block.
	BlockBytes = 256
	// MaxBlocks limits the prefix blocks that are hashed for a prompt.
	MaxBlocks = 64
	// bytesPerToken is the estimated number of prompt bytes in a token.
	bytesPerToken = 4
)

// ErrMalformed is returned for a body that is not a completions request.
var ErrMalformed = eris.New("malformed completions request")

// Request holds the fields of a request body that routing needs.
type Request struct {
	Model string
	// Chat reports whether the body holds messages instead of a prompt.
	Chat   bool
	Prompt string
	// MaxTokens is zero if the caller set no limit.
	MaxTokens int
	Stream    bool
	// Assemblable reports whether the response can be assembled from a stream
	// without loss, which needs a single choice and no log probabilities.
	Assemblable bool
}

// PromptTokens returns the estimated number of tokens in the prompt.
func (r Request) PromptTokens() int {
	return (len(r.Prompt) + bytesPerToken - 1) / bytesPerToken
}

// PrefixBlocks returns the hashes of the prompt's block-aligned prefixes, the
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

// text returns the content if it is a string, and its JSON otherwise.
func (m chatMessage) text() string {
	var text string
	if json.Unmarshal(m.Content, &text) != nil {
		return string(m.Content)
	}
	return text
}

// Parse parses a request body. The error wraps ErrMalformed and says what is
// wrong; it is sent to the caller.
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

// joinMessages returns the prompt that engines build from messages, one line
// for each message.
func joinMessages(messages []chatMessage) string {
	var text bytes.Buffer
	for _, m := range messages {
		text.WriteString(m.Role + ": " + m.text() + "\n")
	}
	return text.String()
}
