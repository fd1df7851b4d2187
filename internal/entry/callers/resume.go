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

// resumePause is the wait between two tries to resume a stream.
const resumePause = 50 * time.Millisecond

// resume opens a new connection to the run after the last event passed on.
// If the run can't be reached within the progress timeout it returns false
// and how the attempt ended. A run may be silent for long while it waits in
// the engine's queue: as long as the endpoint answers probes, only the
// connection is given up.
func (c *call) resume(ctx context.Context, grant core.Grant, r *relay) (ending, bool) {
	if silent(r.cause) {
		c.h.endpoints.closeIdle()
		if end, ok := c.awaitEndpoint(ctx, grant, r); !ok {
			return end, false
		}
	}
	patience := time.Now().Add(c.ticket.ProgressTimeout)
	for {
		response, err := c.reconnect(ctx, grant, r)
		c.noteDeath(ctx, grant, r, err)
		switch {
		case ctx.Err() != nil:
			return c.cancelled(grant), false
		case silent(err):
			r.body, r.cause = nil, err
			return ending{}, true
		case err == nil && response.StatusCode == http.StatusOK:
			c.logResume(grant, r)
			r.body, r.cause = response.Body, nil
			return ending{}, true
		case err == nil:
			_ = response.Body.Close()
			return c.gaveUp(ctx, grant, "the endpoint does not know the run any more"), false
		case unreachable(err) && c.canStartOver():
			return c.gaveUp(ctx, grant, "the endpoint died"), false
		case time.Now().After(patience):
			return c.gaveUp(ctx, grant, "the stream could not be resumed"), false
		}
		if ring.Pause(ctx, resumePause) != nil {
			return c.cancelled(grant), false
		}
	}
}

// awaitEndpoint probes an endpoint whose connection went silent. It returns
// false if the endpoint does not answer and the request could as well run on
// another one. Else it waits for a frozen endpoint until the deadline: the
// caller can get its answer from nowhere else.
func (c *call) awaitEndpoint(ctx context.Context, grant core.Grant, r *relay) (ending, bool) {
	for {
		err := c.probe(ctx, grant)
		c.noteDeath(ctx, grant, r, err)
		switch {
		case err == nil:
			return ending{}, true
		case c.canStartOver():
			return c.gaveUp(ctx, grant, "the endpoint is silent"), false
		case unreachable(err):
			return ending{}, true // the tries to reconnect are bounded
		}
		if ring.Pause(ctx, resumePause) != nil {
			return c.cancelled(grant), false
		}
	}
}

// noteDeath marks the request when its endpoint is seen to have died under
// it, once an attempt.
func (c *call) noteDeath(ctx context.Context, grant core.Grant, r *relay, err error) {
	if unreachable(err) && ctx.Err() == nil && !r.marked {
		r.marked = true
		c.markPoison(grant.Endpoint)
	}
}

// canStartOver tells whether the request could as well run on another
// endpoint, so that waiting for this one gains nothing.
func (c *call) canStartOver() bool { return !c.ticket.RunOnce && !c.sink.passed }

// reconnect asks the endpoint for the events after the last one.
func (c *call) reconnect(ctx context.Context, grant core.Grant, r *relay) (*http.Response, error) {
	resumesTotal.Inc()
	exchange := &exchange{silence: c.ticket.ProgressTimeout}
	url := "http://" + grant.Address + "/v1/runs/" + c.id + "/stream"
	request, err := http.NewRequestWithContext(exchange.trace(ctx), http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set(headerLastEventID, strconv.Itoa(r.last))
	response, err := c.h.endpoints.fresh.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = &watchedBody{ReadCloser: response.Body, exchange: exchange}
	return response, nil
}

// gaveUp is the end of an attempt whose answer can't be completed.
func (c *call) gaveUp(ctx context.Context, grant core.Grant, detail string) ending {
	if ctx.Err() != nil {
		return c.cancelled(grant)
	}
	return ending{result: core.ResultLost, reason: core.ReasonAnswerIncomplete, detail: detail}
}

func (c *call) logResume(grant core.Grant, r *relay) {
	c.h.Log.Info("stream resumed", zap.String("request", c.id), zap.String("endpoint", grant.Endpoint),
		zap.Int("after_event", r.last), zap.Error(r.cause))
}
