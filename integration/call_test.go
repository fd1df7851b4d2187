package integration

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/standin/tokens"
)

// callResult is the response or the error that a caller received.
type callResult struct {
	status      int
	disposition core.Disposition
	reason      core.Reason
	retryAfter  int
	requestID   string
	version     string
	replayed    bool
	body        string // text of a stream, or the body of a response or refusal
	complete    bool
	err         error
	duration    time.Duration
}

// call describes one request of a caller.
type call struct {
	method, path string
	body         []byte
	key          string
	bearer       string
	deadline     time.Duration
	tier         string
	stream       bool
}

// newKey returns a fresh idempotency key.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// completion returns a streamed completions call that generates length tokens.
func completion(model, prompt string, length int, key string) call {
	body, _ := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": length, "stream": true})
	return call{method: http.MethodPost, path: "/v1/completions", body: body, key: key, stream: true}
}

// postEntry returns a ledger call that must run at most once.
func postEntry(key string) call {
	body, _ := json.Marshal(map[string]string{"id": key})
	return call{method: http.MethodPost, path: "/v1/entries", body: body, key: key}
}

// getPath returns a ledger call that may be retried.
func getPath(path string) call { return call{method: http.MethodGet, path: path} }

// send sends the call to an entry host, reads the response to its end and
// measures the time that took.
func (c *cluster) send(ctx context.Context, h *host, k call) callResult {
	start := time.Now()
	result := c.roundTrip(ctx, h, k)
	result.duration = time.Since(start)
	return result
}

func (c *cluster) roundTrip(ctx context.Context, h *host, k call) callResult {
	request, err := http.NewRequestWithContext(ctx, k.method, h.baseURL+k.path, bytes.NewReader(k.body))
	if err != nil {
		return callResult{err: err}
	}
	bearer := k.bearer
	if bearer == "" {
		bearer = accountKey
	}
	request.Header.Set("Authorization", "Bearer "+bearer)
	request.Header.Set("Content-Type", "application/json")
	if k.key != "" {
		request.Header["Idempotency-Key"] = []string{k.key}
	}
	if k.deadline != 0 {
		request.Header.Set("Kingcup-Deadline-Ms", formatInt(k.deadline.Milliseconds()))
	}
	if k.tier != "" {
		request.Header.Set("Kingcup-Tier", k.tier)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	return readResponse(response, k.stream)
}

func formatInt(n int64) string { b, _ := json.Marshal(n); return string(b) }

func readResponse(response *http.Response, stream bool) callResult {
	result := callResult{status: response.StatusCode, requestID: response.Header.Get("X-Request-Id"),
		version: response.Header.Get("X-Engine-Version"), retryAfter: retryAfter(response),
		replayed: response.Header.Get("Kingcup-Replayed") != ""}
	if stream && response.StatusCode == http.StatusOK {
		readStream(&result, response.Body)
		return result
	}
	text, err := io.ReadAll(response.Body)
	result.body, result.err = string(text), err
	if response.StatusCode >= http.StatusBadRequest {
		result.parseRefusal(text)
		return result
	}
	result.complete = err == nil
	return result
}

func (r *callResult) parseRefusal(body []byte) {
	var refusal struct {
		Error struct {
			Disposition core.Disposition `json:"disposition"`
			Reason      core.Reason      `json:"reason"`
		} `json:"error"`
	}
	if err := json.Unmarshal(body, &refusal); err != nil {
		r.err = err
		return
	}
	r.disposition, r.reason, r.body = refusal.Error.Disposition, refusal.Error.Reason, string(body)
}

var errNoEndMarker = errors.New("the stream ended without its end marker")

func readStream(result *callResult, body io.Reader) {
	scanner := bufio.NewScanner(body)
	var text strings.Builder
	failed := false
	for scanner.Scan() {
		data, isData := strings.CutPrefix(scanner.Text(), "data: ")
		switch {
		case scanner.Text() == "event: error":
			failed = true
		case !isData:
		case failed:
			result.parseRefusal([]byte(data))
			return
		case data == "[DONE]":
			result.body, result.complete = text.String(), true
			return
		default:
			text.WriteString(eventText(data))
		}
	}
	result.body, result.err = text.String(), errors.Join(errNoEndMarker, scanner.Err())
}

func eventText(data string) string {
	var event struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &event) != nil || len(event.Choices) == 0 {
		return "(bad event)"
	}
	return event.Choices[0].Text
}

// expectText fails the test unless the response is complete and has exactly the
// text expected for the prompt.
func expectText(t *testing.T, result callResult, prompt string, length int) {
	t.Helper()
	if !result.complete || result.body != tokens.ExpectedText(prompt, length) {
		t.Errorf("incomplete or wrong response: status %d, %s %s, %v, %d bytes of %d", result.status, result.disposition, result.reason,
			result.err, len(result.body), len(tokens.ExpectedText(prompt, length)))
	}
}
