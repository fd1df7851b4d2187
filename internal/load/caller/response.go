package caller

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/load/collector"
	"kingcupcourse/internal/load/workload"
	"kingcupcourse/internal/standin/tokens"
)

// dispositionHeader marks a refusal by an entry host. An error response
// without it comes from the endpoint.
const dispositionHeader = "Kingcup-Disposition"

const (
	maxResponseBytes = 8 << 20
	maxLineBytes     = 1 << 20
)

// refusalBody is the body of a typed refusal by an entry host.
type refusalBody struct {
	Error struct {
		Disposition core.Disposition `json:"disposition"`
		Reason      core.Reason      `json:"reason"`
	} `json:"error"`
}

// completionResponse is the response of a completions call, or one event of
// a streamed response.
type completionResponse struct {
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

func readResponse(sample *collector.Sample, response *http.Response, a workload.Arrival, due time.Time) {
	sample.Status = response.StatusCode
	sample.RequestID = response.Header.Get("X-Request-Id")
	body := io.LimitReader(response.Body, maxResponseBytes)
	switch {
	case response.Header.Get(dispositionHeader) != "":
		readRefusal(sample, body)
	case strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream"):
		readStream(sample, body, a, due)
	case a.Class.Model != "" && response.StatusCode == http.StatusOK:
		readCompletion(sample, body, a)
	default:
		_, err := io.Copy(io.Discard, body)
		sample.Complete = err == nil && response.StatusCode < http.StatusInternalServerError
		sample.Error = errorText(err)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func readRefusal(sample *collector.Sample, body io.Reader) {
	var refusal refusalBody
	if err := json.NewDecoder(body).Decode(&refusal); err != nil {
		sample.Error = "refusal: " + err.Error()
		return
	}
	sample.Disposition, sample.Reason = refusal.Error.Disposition, refusal.Error.Reason
}

func readCompletion(sample *collector.Sample, body io.Reader, a workload.Arrival) {
	var completion completionResponse
	if err := json.NewDecoder(body).Decode(&completion); err != nil || len(completion.Choices) != 1 {
		sample.Error = "invalid completion: " + errorText(err)
		return
	}
	sample.Tokens = a.OutputTokens
	checkContent(sample, completion.Choices[0].Text, a)
}

// checkContent compares the generated text with what the stand-in engine
// generates for the prompt.
func checkContent(sample *collector.Sample, text string, a workload.Arrival) {
	sample.Complete = true
	sample.WrongContent = text != tokens.ExpectedText(a.Prompt, a.OutputTokens)
}

func readStream(sample *collector.Sample, body io.Reader, a workload.Arrival, due time.Time) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	var text strings.Builder
	var lastToken time.Time
	errorEvent := false
	for scanner.Scan() {
		line := scanner.Text()
		switch data, isData := strings.CutPrefix(line, "data: "); {
		case line == "event: error":
			errorEvent = true
		case !isData:
		case errorEvent:
			readRefusal(sample, strings.NewReader(data))
			return
		case data == "[DONE]":
			checkContent(sample, text.String(), a)
			return
		default:
			lastToken = readToken(sample, &text, data, due, lastToken)
		}
	}
	sample.Error = "stream ended early: " + errorText(scanner.Err())
}

// readToken records one event of a stream and returns its arrival time.
func readToken(sample *collector.Sample, text *strings.Builder, data string, due, lastToken time.Time) time.Time {
	var event completionResponse
	if err := json.Unmarshal([]byte(data), &event); err != nil || len(event.Choices) == 0 {
		sample.Error = "invalid event: " + errorText(err)
		return lastToken
	}
	text.WriteString(event.Choices[0].Text)
	now := time.Now()
	sample.Tokens++
	if lastToken.IsZero() {
		sample.FirstToken = now.Sub(due)
	} else {
		sample.TokenIntervals = append(sample.TokenIntervals, now.Sub(lastToken))
	}
	return now
}
