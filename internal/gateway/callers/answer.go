package callers

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/gateway/frontend"
	"kingcupcourse/internal/gateway/placement"
	"kingcupcourse/internal/sse"
)

const (
	// maxWholeBytes is the largest answer that is read whole before it is
	// passed on; a larger one is passed on as it comes.
	maxWholeBytes = 256 << 10
	// relayBytes is the buffer for passing an answer on.
	relayBytes = 16 << 10
)

// whole reads an answer and passes it on once it is complete, so that one
// that is cut can be tried again or told as failed.
func (c *call) whole(ctx context.Context, response *http.Response, answer frontend.ResponseInfo) ending {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxWholeBytes+1))
	switch {
	case err != nil:
		return c.cut(ctx, err)
	case len(body) > maxWholeBytes:
		if failed := c.pass(response, body); failed != nil {
			return writeFailed(failed)
		}
		return c.relay(ctx, response)
	}
	c.h.Protocol.CopyHeader(c.w.Header(), response)
	c.w.WriteHeader(response.StatusCode)
	_, err = c.w.Write(body)
	result := core.ResultOK
	if answer.Status >= http.StatusInternalServerError {
		result = core.ResultFailed
	}
	return ending{result: result, delivered: true, detail: detail(err)}
}

// stream passes an answer on as it comes.
func (c *call) stream(ctx context.Context, response *http.Response) ending {
	if c.ticket.Route.Resumable {
		return c.events(ctx, response)
	}
	return c.relay(ctx, response)
}

// relay passes the bytes of an answer on.
func (c *call) relay(ctx context.Context, response *http.Response) ending {
	buffer := make([]byte, relayBytes)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if failed := c.pass(response, buffer[:n]); failed != nil {
				return writeFailed(failed)
			}
		}
		if err != nil {
			return c.streamEnd(ctx, response, err)
		}
	}
}

// events passes whole events on, so that a stream that is cut inside an event
// can go on at another endpoint after the last whole one.
func (c *call) events(ctx context.Context, response *http.Response) ending {
	events := sse.NewReader(response.Body)
	for {
		event, err := events.Next()
		if err != nil {
			return c.streamEnd(ctx, response, err)
		}
		number, failed := strconv.Atoi(event.ID)
		switch {
		case failed != nil:
			return ending{result: core.ResultLost, reason: core.ReasonAnswerIncomplete, detail: "an event has no number"}
		case c.lastEvent != "" && number <= c.lastNumber:
			continue // passed on before the stream was resumed
		case c.resumed && number != c.lastNumber+1:
			return ending{result: core.ResultLost, reason: core.ReasonAnswerIncomplete, detail: "an event is missing"}
		}
		if failed := c.pass(response, event.Raw); failed != nil {
			return writeFailed(failed)
		}
		c.lastEvent, c.lastNumber, c.resumed = event.ID, number, false
	}
}

// streamEnd is the end of a stream whose connection ended with err.
func (c *call) streamEnd(ctx context.Context, response *http.Response, err error) ending {
	if !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return c.cut(ctx, err)
	}
	c.begin(response)
	return ending{result: core.ResultOK, delivered: true}
}

// writeFailed is the end of an attempt whose answer the caller does not take.
func writeFailed(err error) ending {
	return ending{result: core.ResultCancelled, reason: core.ReasonCallerGone, detail: err.Error()}
}

// pass writes a part of a stream to the caller at once.
func (c *call) pass(response *http.Response, part []byte) error {
	c.noteFirst()
	c.eventCount.Add(part)
	c.begin(response)
	if _, err := c.w.Write(part); err != nil {
		return err
	}
	return http.NewResponseController(c.w).Flush()
}

// noteFirst tells that the first part of an answer has come.
func (c *call) noteFirst() {
	if c.firstPart > 0 {
		return
	}
	c.firstPart = time.Since(c.began)
	firstPartSeconds.WithLabelValues(strconv.Itoa(c.ticket.Priority)).Observe(time.Since(c.received).Seconds())
	c.report(placement.Update{Attempt: c.attempt})
}

// begin passes the header on before the first byte.
func (c *call) begin(response *http.Response) {
	if c.passed {
		return
	}
	c.passed = true
	c.h.Protocol.CopyHeader(c.w.Header(), response)
	c.w.WriteHeader(response.StatusCode)
}

// cut is the end of an attempt whose answer did not come whole.
func (c *call) cut(ctx context.Context, err error) ending {
	if ctx.Err() != nil {
		return ending{result: core.ResultCancelled, reason: core.ReasonDeadlinePassed, detail: err.Error()}
	}
	return ending{result: core.ResultLost, reason: core.ReasonAnswerIncomplete, detail: err.Error()}
}

func detail(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
