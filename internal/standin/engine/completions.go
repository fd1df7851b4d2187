package engine

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"github.com/google/uuid"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/standin/faultserver"
)

// defaultOutputTokens is the output limit of requests without max_tokens.
const defaultOutputTokens = 64

var (
	errNoPrompt  = errors.New("engine: a prompt is needed")
	errMaxTokens = errors.New("engine: max_tokens must be above 0")
)

// completionRequest is the body of a completion request. Fields that the
// stand-in does not use are ignored.
type completionRequest struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens *int          `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatPrompt turns chat messages into a prompt with a line "role: content" for
// each message.
func chatPrompt(messages []chatMessage) string {
	var prompt strings.Builder
	for _, m := range messages {
		prompt.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return prompt.String()
}

func (e *Engine) completions(w http.ResponseWriter, r *http.Request) { e.serveCompletion(w, r, false) }
func (e *Engine) chatCompletions(w http.ResponseWriter, r *http.Request) {
	e.serveCompletion(w, r, true)
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	var body completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
		faultserver.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	req, err := body.toRequest(chat)
	if err != nil {
		faultserver.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	req.id = r.Header.Get(headerRequestID)
	if req.id == "" {
		req.id = uuid.NewString()
	}
	req.wrong, req.generation = faultserver.IsWrong(r), faultserver.Generation(r)
	e.submit(w, r, req, body.Stream)
}

func (b completionRequest) toRequest(chat bool) (request, error) {
	req := request{model: b.Model, prompt: b.Prompt, maxTokens: defaultOutputTokens, chat: chat}
	if chat {
		req.prompt = chatPrompt(b.Messages)
	}
	if b.MaxTokens != nil {
		req.maxTokens = *b.MaxTokens
	}
	switch {
	case req.prompt == "":
		return req, errNoPrompt
	case req.maxTokens <= 0:
		return req, errMaxTokens
	}
	return req, nil
}

func (e *Engine) submit(w http.ResponseWriter, r *http.Request, req request, stream bool) {
	m := submitRun{Reply: ring.NewReply[progressReply](), request: req}
	reply, err := call(r.Context(), e, m, m.Reply)
	switch {
	case err != nil:
		panic(http.ErrAbortHandler)
	case reply.err != nil:
		writeError(w, reply.err)
	case stream:
		e.writeStream(w, r, reply.progress, 0)
	default:
		e.writeCompletion(w, r, reply.progress)
	}
}

// await waits until the run has produced more output tokens than after, or has
// ended.
func (e *Engine) await(r *http.Request, id string, after int) (progress, error) {
	m := awaitProgress{Reply: ring.NewReply[progressReply](), id: id, after: after}
	reply, err := call(r.Context(), e, m, m.Reply)
	if err != nil {
		return progress{}, err
	}
	return reply.progress, reply.err
}

// writeCompletion waits until the run is finished and writes the complete
// response.
func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, p progress) {
	p, err := e.await(r, p.id, p.outputTokens-1)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(headerVersion, p.version)
	faultserver.WriteJSON(w, http.StatusOK, completionBody(p))
}

// responseBody is a complete response, or one event of a stream.
type responseBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Delta        *delta       `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (p progress) finishReason() *string {
	reason := "stop"
	if p.lengthLimited {
		reason = "length"
	}
	return &reason
}

func completionBody(p progress) responseBody {
	var text strings.Builder
	for i := range p.outputTokens {
		text.WriteString(p.text(i))
	}
	output := text.String()
	body := responseBody{ID: p.id, Object: "text_completion", Model: p.model,
		Choices: []choice{{Text: &output, FinishReason: p.finishReason()}},
		Usage: &usage{PromptTokens: p.promptTokens, CompletionTokens: p.outputTokens,
			TotalTokens: p.promptTokens + p.outputTokens}}
	if p.chat {
		body.Object = "chat.completion"
		body.Choices[0].Text = nil
		body.Choices[0].Message = &chatMessage{Role: "assistant", Content: output}
	}
	return body
}

// eventBody returns the data of the stream event for one token.
func eventBody(p progress, index int) responseBody {
	text := p.text(index)
	body := responseBody{ID: p.id, Object: "text_completion", Model: p.model, Choices: []choice{{Text: &text}}}
	if p.chat {
		body.Object = "chat.completion.chunk"
		body.Choices[0] = choice{Delta: &delta{Content: text}}
	}
	if index == p.outputTokens-1 {
		body.Choices[0].FinishReason = p.finishReason()
	}
	return body
}
