package callers

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"kingcupcourse/internal/budget"
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/gateway/frontend"
	"kingcupcourse/internal/gateway/placement"
	"kingcupcourse/internal/httpclient"
	"kingcupcourse/internal/sse"
)

const (
	// maxBufferedBytes is the largest response that is buffered completely before
	// it is relayed. A larger response is relayed as it arrives. It is also the largest
	// event of a resumable stream; a stream with a larger one is taken for broken.
	maxBufferedBytes = 256 << 10
	// relayBufferBytes is the size of the buffer for relaying a response.
	relayBufferBytes = 16 << 10
)

// relayBuffered relays a response once it has arrived completely, so that a
// truncated response can be retried or refused. A response that is too large, or for
// which the host has no room, is relayed as it arrives.
func (c *call) relayBuffered(ctx context.Context, response *http.Response, info frontend.ResponseInfo) attemptOutcome {
	body, complete, err := budget.ReadAnswer(ctx, response.Body, response.ContentLength, maxBufferedBytes)
	switch {
	case err != nil:
		return c.incompleteResponse(ctx, err)
	case !complete:
		if writeErr := c.writePart(response, body); writeErr != nil {
			return callerWriteFailed(writeErr)
		}
		budget.GiveBack(ctx, body)
		return c.relayRaw(ctx, response)
	}
	c.h.Protocol.CopyHeader(c.w.Header(), response)
	c.w.WriteHeader(response.StatusCode)
	_, err = c.w.Write(body)
	result := core.ResultOK
	if info.Status >= http.StatusInternalServerError {
		result = core.ResultFailed
	}
	return attemptOutcome{result: result, delivered: true, detail: errorDetail(err)}
}

// relayStream relays a stream of events as it arrives.
func (c *call) relayStream(ctx context.Context, response *http.Response) attemptOutcome {
	relay := c.relayRaw
	if c.ticket.Route.Resumable {
		relay = c.relayEvents
	}
	outcome := relay(ctx, response)
	switch {
	case outcome.result != core.ResultOK:
		return outcome
	case c.eventCount.InEvent():
		return c.incompleteResponse(ctx, errInsideEvent)
	case httpclient.EndsWithConnection(response) && c.eventCount.Events == 0:
		return c.incompleteResponse(ctx, errNoEvent)
	}
	c.writeHeader(response)
	return outcome
}

var (
	errInsideEvent = eris.New("the stream ended inside an event")
	errNoEvent     = eris.New("the stream ended with its connection before its first event")
)

// relayRaw relays a response without parsing it.
func (c *call) relayRaw(ctx context.Context, response *http.Response) attemptOutcome {
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if writeErr := c.writePart(response, buffer[:n]); writeErr != nil {
				return callerWriteFailed(writeErr)
			}
		}
		if err != nil {
			return c.endOfStream(ctx, response, err)
		}
	}
}

// relayEvents relays only complete events, so that a stream that breaks inside
// an event can resume at another endpoint after the last complete one.
func (c *call) relayEvents(ctx context.Context, response *http.Response) attemptOutcome {
	events := sse.NewReader(response.Body, maxBufferedBytes)
	for {
		event, err := events.Next()
		if err != nil {
			return c.endOfStream(ctx, response, err)
		}
		number, parseErr := strconv.Atoi(event.ID)
		switch {
		case parseErr != nil:
			return attemptOutcome{result: core.ResultLost, reason: core.ReasonResponseIncomplete, detail: "an event has no number"}
		case c.lastEventID != "" && number <= c.lastEventNumber:
			continue // relayed before the stream was resumed
		case c.resuming && number != c.lastEventNumber+1:
			return attemptOutcome{result: core.ResultLost, reason: core.ReasonResponseIncomplete, detail: "an event is missing"}
		}
		if writeErr := c.writePart(response, event.Raw); writeErr != nil {
			return callerWriteFailed(writeErr)
		}
		c.lastEventID, c.lastEventNumber, c.resuming = event.ID, number, false
	}
}

// endOfStream returns the outcome of a stream whose body ended with err.
func (c *call) endOfStream(ctx context.Context, response *http.Response, err error) attemptOutcome {
	if !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return c.incompleteResponse(ctx, err)
	}
	return attemptOutcome{result: core.ResultOK, delivered: true}
}

// callerWriteFailed returns the outcome of an attempt whose response could not
// be written to the caller.
func callerWriteFailed(err error) attemptOutcome {
	return attemptOutcome{result: core.ResultCancelled, reason: core.ReasonCallerGone, detail: err.Error()}
}

// writePart writes a part of a response to the caller and flushes it.
func (c *call) writePart(response *http.Response, part []byte) error {
	c.recordFirstPart()
	wasUnderway := c.answerUnderway()
	if c.eventCount.Add(part); !wasUnderway && c.answerUnderway() {
		c.reportAnswered()
	}
	c.writeHeader(response)
	if _, err := c.w.Write(part); err != nil {
		return err
	}
	return http.NewResponseController(c.w).Flush()
}

// recordFirstPart records and reports the arrival of a response's first part.
func (c *call) recordFirstPart() {
	if c.timeToFirstPart > 0 {
		return
	}
	c.timeToFirstPart = time.Since(c.attemptStarted)
	firstPartSeconds.WithLabelValues(strconv.Itoa(c.ticket.Priority)).Observe(time.Since(c.received).Seconds())
	c.report(placement.Update{Attempt: c.attempt, LeavingIncarnation: c.leavingIncarnation})
}

// writeHeader relays the response header before the first byte of the body.
func (c *call) writeHeader(response *http.Response) {
	if c.responseStarted {
		return
	}
	c.responseStarted = true
	c.h.Protocol.CopyHeader(c.w.Header(), response)
	c.w.WriteHeader(response.StatusCode)
}

// incompleteResponse returns the outcome of an attempt whose response did not
// arrive completely.
func (c *call) incompleteResponse(ctx context.Context, err error) attemptOutcome {
	if ctx.Err() != nil {
		return attemptOutcome{result: core.ResultCancelled, reason: core.ReasonDeadlinePassed, detail: err.Error()}
	}
	return attemptOutcome{result: core.ResultLost, reason: core.ReasonResponseIncomplete, detail: err.Error()}
}

func errorDetail(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
