package completions

import (
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrUnfinished is returned for a response without a finish reason.
var ErrUnfinished = eris.New("the answer has no finish reason")

type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
}

type chunkChoice struct {
	Text         string  `json:"text"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Text         *string            `json:"text,omitempty"`
	Message      *completionMessage `json:"message,omitempty"`
	FinishReason string             `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Assembler builds a complete response from the events of a stream.
type Assembler struct {
	request      Request
	first        chunk
	text         strings.Builder
	tokens       int
	finishReason string
}

// NewAssembler returns an assembler for the response to a request.
func NewAssembler(request Request) *Assembler { return &Assembler{request: request} }

// Add adds the payload of one event.
func (a *Assembler) Add(data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return eris.Wrap(err, "malformed event")
	}
	if a.tokens == 0 {
		a.first = c
	}
	a.tokens++
	for _, choice := range c.Choices {
		a.text.WriteString(choice.Text)
		a.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != nil {
			a.finishReason = *choice.FinishReason
		}
	}
	return nil
}

// Response returns the complete response, or ErrUnfinished.
func (a *Assembler) Response() ([]byte, error) {
	if a.finishReason == "" {
		return nil, ErrUnfinished
	}
	text := a.text.String()
	choice := completionChoice{FinishReason: a.finishReason}
	object := "text_completion"
	if a.request.Chat {
		object = "chat.completion"
		choice.Message = &completionMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	prompt := a.request.PromptTokens()
	return json.Marshal(completion{
		ID: a.first.ID, Object: object, Model: a.first.Model, Choices: []completionChoice{choice},
		Usage: usage{PromptTokens: prompt, CompletionTokens: a.tokens, TotalTokens: prompt + a.tokens},
	})
}

// HasFinishReason reports whether the payload of an event carries a finish
// reason.
func HasFinishReason(data []byte) bool {
	var c chunk
	if json.Unmarshal(data, &c) != nil {
		return false
	}
	for _, choice := range c.Choices {
		if choice.FinishReason != nil {
			return true
		}
	}
	return false
}
