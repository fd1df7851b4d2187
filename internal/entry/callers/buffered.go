package callers

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"kingcupcourse/internal/budget"
	"kingcupcourse/internal/core"
)

// maxAnswerBytes bounds a response that is buffered before it is sent to the
// caller.
const maxAnswerBytes = 8 << 20

// answerTimeout bounds how long a caller may take to read a buffered response.
const answerTimeout = 30 * time.Second

var (
	errResponseTooLarge  = eris.New("the endpoint's answer is too large")
	errNoRoomForResponse = eris.New("no room to hold the endpoint's answer")
	errResponseMalformed = eris.New("the endpoint's answer is not whole JSON")
)

// bufferedResponse is a complete response.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// receiveBuffered reads the complete response before any of it is sent to the
// caller.
func (c *call) receiveBuffered(ctx context.Context, grant core.Grant, response *http.Response) attemptEnd {
	body, err := readResponse(response)
	switch {
	case ctx.Err() != nil:
		return c.endCancelled(grant)
	case errors.Is(err, errResponseTooLarge), errors.Is(err, errNoRoomForResponse), errors.Is(err, errResponseMalformed):
		return attemptEnd{result: core.ResultFailed, reason: core.ReasonResponseIncomplete, detail: err.Error()}
	case err != nil:
		return c.endLost(ctx, grant, err)
	case response.StatusCode >= http.StatusInternalServerError:
		return attemptEnd{result: core.ResultFailed, reason: core.ReasonEndpointFailed,
			detail: "the endpoint answered " + response.Status}
	case c.usesStream() && response.StatusCode == http.StatusConflict:
		return attemptEnd{result: core.ResultFailed, reason: core.ReasonAlreadyRun,
			detail: "the endpoint has seen this request before"}
	}
	return attemptEnd{result: core.ResultOK,
		response: &bufferedResponse{status: response.StatusCode, header: response.Header, body: body}}
}

func readResponse(response *http.Response) ([]byte, error) {
	defer func() { _ = response.Body.Close() }()
	body, complete, err := budget.ReadAnswer(response.Request.Context(), response.Body, response.ContentLength, maxAnswerBytes)
	switch {
	case err != nil:
		return nil, err
	case !complete && len(body) > maxAnswerBytes:
		return nil, errResponseTooLarge
	case !complete:
		return nil, errNoRoomForResponse
	case response.Request.Method != http.MethodHead && isJSON(response.Header) && len(body) > 0 && !json.Valid(body):
		return nil, errResponseMalformed
	}
	return body, nil
}

func isJSON(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "application/json")
}

// writeResponse sends a complete response to the caller.
func (c *call) writeResponse(response *bufferedResponse) {
	header := c.w.Header()
	for name, values := range response.header {
		header[name] = values
	}
	for _, name := range strippedHeaders {
		header.Del(name)
	}
	header.Set(headerRequestID, c.id)
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(answerTimeout))
	c.w.WriteHeader(response.status)
	_, _ = c.w.Write(response.body)
}
