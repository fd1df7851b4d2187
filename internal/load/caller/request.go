package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"kingcupcourse/internal/load/workload"
)

// completionRequest is the body of a completions call.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// ledgerRequest is the body of a call to a plain service. The id identifies
// every run of one request.
type ledgerRequest struct {
	ID string `json:"id"`
}

func newRequest(ctx context.Context, entry string, job Job, deadline time.Time) (*http.Request, error) {
	class := job.Arrival.Class
	body, err := requestBody(job)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, class.Method, entry+class.Path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+class.APIKey)
	request.Header.Set("Content-Type", "application/json")
	timeLeft := max(time.Until(deadline), time.Millisecond)
	request.Header.Set("Kingcup-Deadline-Ms", strconv.FormatInt(timeLeft.Milliseconds(), 10))
	request.Header.Set("Kingcup-Tier", strconv.Itoa(int(class.Tier)))
	if job.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", job.IdempotencyKey)
	}
	return request, nil
}

func requestBody(job Job) ([]byte, error) {
	class := job.Arrival.Class
	switch {
	case class.Model != "":
		return marshalCompletion(class.Model, class.Stream, job.Arrival)
	case class.Method == http.MethodGet:
		return nil, nil
	default:
		return json.Marshal(ledgerRequest{ID: job.IdempotencyKey})
	}
}

func marshalCompletion(model string, stream bool, a workload.Arrival) ([]byte, error) {
	return json.Marshal(completionRequest{Model: model, Prompt: a.Prompt, MaxTokens: a.OutputTokens, Stream: stream})
}
