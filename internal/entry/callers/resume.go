package callers

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/ring"
)

// resumeInterval is the wait between two tries to resume a stream.
const resumeInterval = 50 * time.Millisecond

// resume opens a new connection to the run after the last event passed on.
// If the run can't be reached within the progress timeout it returns false
// and how the attempt ended. A run may be silent for long while it waits in
// the engine's queue: as long as the endpoint answers probes, only the
// connection is given up.
func (c *call) resume(ctx context.Context, grant core.Grant, r *streamState) (attemptEnd, bool) {
	if isTimeout(r.err) {
		c.h.transports.closeIdle()
		if end, ok := c.awaitEndpoint(ctx, grant, r); !ok {
			return end, false
		}
	}
	patience := time.Now().Add(c.ticket.ProgressTimeout)
	for {
		response, err := c.reconnect(ctx, grant, r)
		c.recordDeathOnce(ctx, grant, r, err)
		switch {
		case ctx.Err() != nil:
			return c.endCancelled(grant), false
		case isTimeout(err):
			r.body, r.err = nil, err
			return attemptEnd{}, true
		case err == nil && response.StatusCode == http.StatusOK:
			c.logResume(grant, r)
			r.body, r.err = response.Body, nil
			return attemptEnd{}, true
		case err == nil:
			_ = response.Body.Close()
			return c.endIncomplete(ctx, grant, "the endpoint does not know the run any more"), false
		case isDialError(err) && c.canRetryElsewhere():
			return c.endIncomplete(ctx, grant, "the endpoint died"), false
		case time.Now().After(patience):
			return c.endIncomplete(ctx, grant, "the stream could not be resumed"), false
		}
		if ring.Pause(ctx, resumeInterval) != nil {
			return c.endCancelled(grant), false
		}
	}
}

// awaitEndpoint probes an endpoint whose connection went silent. It returns
// false if the endpoint does not answer and the request could as well run on
// another one. Else it waits for a frozen endpoint until the deadline: the
// caller can get its answer from nowhere else.
func (c *call) awaitEndpoint(ctx context.Context, grant core.Grant, r *streamState) (attemptEnd, bool) {
	for {
		err := c.probe(ctx, grant)
		c.recordDeathOnce(ctx, grant, r, err)
		switch {
		case err == nil:
			return attemptEnd{}, true
		case c.canRetryElsewhere():
			return c.endIncomplete(ctx, grant, "the endpoint is silent"), false
		case isDialError(err):
			return attemptEnd{}, true // the tries to reconnect are bounded
		}
		if ring.Pause(ctx, resumeInterval) != nil {
			return c.endCancelled(grant), false
		}
	}
}

// recordDeathOnce marks the request when its endpoint is seen to have died under
// it, once an attempt.
func (c *call) recordDeathOnce(ctx context.Context, grant core.Grant, r *streamState, err error) {
	if isDialError(err) && ctx.Err() == nil && !r.deathRecorded {
		r.deathRecorded = true
		c.recordEndpointDeath(grant.Endpoint)
	}
}

// canRetryElsewhere tells whether the request could as well run on another
// endpoint, so that waiting for this one gains nothing.
func (c *call) canRetryElsewhere() bool { return !c.ticket.RunOnce && !c.sink.started }

// reconnect asks the endpoint for the events after the last one.
func (c *call) reconnect(ctx context.Context, grant core.Grant, r *streamState) (*http.Response, error) {
	resumesTotal.Inc()
	exchange := &exchange{progressTimeout: c.ticket.ProgressTimeout}
	url := "http://" + grant.Address + "/v1/runs/" + c.id + "/stream"
	request, err := http.NewRequestWithContext(exchange.withTrace(ctx), http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set(headerLastEventID, strconv.Itoa(r.lastEventID))
	response, err := c.h.transports.unpooled.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = &deadlineBody{ReadCloser: response.Body, exchange: exchange}
	return response, nil
}

// endIncomplete is the end of an attempt whose answer can't be completed.
func (c *call) endIncomplete(ctx context.Context, grant core.Grant, detail string) attemptEnd {
	if ctx.Err() != nil {
		return c.endCancelled(grant)
	}
	return attemptEnd{result: core.ResultLost, reason: core.ReasonAnswerIncomplete, detail: detail}
}

func (c *call) logResume(grant core.Grant, r *streamState) {
	c.h.Log.Info("stream resumed", zap.String("request", c.id), zap.String("endpoint", grant.Endpoint),
		zap.Int("after_event", r.lastEventID), zap.Error(r.err))
}
