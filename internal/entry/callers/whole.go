package callers

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"kingcupcourse/internal/core"
)

// maxAnswerBytes bounds an answer that is passed on whole.
const maxAnswerBytes = 8 << 20

// answerTimeout bounds how long a caller may take to read a whole answer.
const answerTimeout = 30 * time.Second

var (
	errAnswerTooLarge  = eris.New("the endpoint's answer is too large")
	errAnswerMalformed = eris.New("the endpoint's answer is not whole JSON")
)

// answer is a whole answer of an endpoint.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// whole reads a whole answer before any of it is passed on.
func (c *call) whole(ctx context.Context, grant core.Grant, response *http.Response) ending {
	body, err := readAnswer(response)
	switch {
	case ctx.Err() != nil:
		return c.cancelled(grant)
	case errors.Is(err, errAnswerTooLarge), errors.Is(err, errAnswerMalformed):
		return ending{result: core.ResultFailed, reason: core.ReasonAnswerIncomplete, detail: err.Error()}
	case err != nil:
		return c.lost(ctx, grant, err)
	case response.StatusCode >= http.StatusInternalServerError:
		return ending{result: core.ResultFailed, reason: core.ReasonEndpointFailed,
			detail: "the endpoint answered " + response.Status}
	case c.streamed() && response.StatusCode == http.StatusConflict:
		return ending{result: core.ResultFailed, reason: core.ReasonAlreadyRun,
			detail: "the endpoint has seen this request before"}
	}
	return ending{result: core.ResultOK,
		answer: &answer{status: response.StatusCode, header: response.Header, body: body}}
}

func readAnswer(response *http.Response) ([]byte, error) {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return nil, err
	case len(body) > maxAnswerBytes:
		return nil, errAnswerTooLarge
	case response.Request.Method != http.MethodHead && isJSON(response.Header) && len(body) > 0 && !json.Valid(body):
		return nil, errAnswerMalformed
	}
	return body, nil
}

func isJSON(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "application/json")
}

// writeAnswer passes a whole answer on.
func (c *call) writeAnswer(a *answer) {
	header := c.w.Header()
	for name, values := range a.header {
		header[name] = values
	}
	for _, name := range notForwarded {
		header.Del(name)
	}
	header.Set(headerRequestID, c.id)
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(answerTimeout))
	c.w.WriteHeader(a.status)
	_, _ = c.w.Write(a.body)
}
