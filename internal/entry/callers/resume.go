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

// resumeInterval is the wait between attempts to resume a stream.
const resumeInterval = 50 * time.Millisecond

// resume reconnects to the run after the last relayed event. It returns false
// and the end of the attempt if the run can't be reached within the progress
// timeout. A run may be silent for long while it waits in the engine's queue,
// so as long as the endpoint answers probes only the connection is replaced.
func (c *call) resume(ctx context.Context, grant core.Grant, s *streamState) (attemptEnd, bool) {
	if isTimeout(s.err) {
		c.h.transports.closeIdle()
		if end, ok := c.awaitEndpoint(ctx, grant, s); !ok {
			return end, false
		}
	}
	giveUpAt := time.Now().Add(c.ticket.ProgressTimeout)
	for {
		response, err := c.reconnect(ctx, grant, s)
		c.recordDeathOnce(ctx, grant, s, err)
		switch {
		case ctx.Err() != nil:
			return c.endCancelled(grant), false
		case isTimeout(err):
			s.body, s.err = nil, err
			return attemptEnd{}, true
		case err == nil && response.StatusCode == http.StatusOK:
			c.logResume(grant, s)
			s.body, s.err = response.Body, nil
			return attemptEnd{}, true
		case err == nil:
			_ = response.Body.Close()
			return c.endIncomplete(ctx, grant, "the endpoint does not know the run any more"), false
		case isDialError(err) && c.canRetryElsewhere():
			return c.endIncomplete(ctx, grant, "the endpoint died"), false
		case time.Now().After(giveUpAt):
			return c.endIncomplete(ctx, grant, "the stream could not be resumed"), false
		}
		if ring.Pause(ctx, resumeInterval) != nil {
			return c.endCancelled(grant), false
		}
	}
}

// awaitEndpoint probes an endpoint whose connection has gone silent. It
// returns false if the endpoint does not answer and the request can run
// elsewhere. Otherwise it waits for a frozen endpoint until the deadline,
// because no other endpoint can complete the response.
func (c *call) awaitEndpoint(ctx context.Context, grant core.Grant, s *streamState) (attemptEnd, bool) {
	for {
		err := c.probe(ctx, grant)
		c.recordDeathOnce(ctx, grant, s, err)
		switch {
		case err == nil:
			return attemptEnd{}, true
		case c.canRetryElsewhere():
			return c.endIncomplete(ctx, grant, "the endpoint is silent"), false
		case isDialError(err):
			return attemptEnd{}, true // resume bounds the reconnects
		}
		if ring.Pause(ctx, resumeInterval) != nil {
			return c.endCancelled(grant), false
		}
	}
}

// recordDeathOnce records the death of the endpoint, at most once for each
// attempt.
func (c *call) recordDeathOnce(ctx context.Context, grant core.Grant, s *streamState, err error) {
	if isDialError(err) && ctx.Err() == nil && !s.deathRecorded {
		s.deathRecorded = true
		c.recordEndpointDeath(grant.Endpoint)
	}
}

// canRetryElsewhere reports whether the request can still run on another
// endpoint, so that waiting for this one gains nothing.
func (c *call) canRetryElsewhere() bool { return !c.ticket.RunOnce && !c.sink.started }

// reconnect requests the events after the last relayed one.
func (c *call) reconnect(ctx context.Context, grant core.Grant, s *streamState) (*http.Response, error) {
	resumesTotal.Inc()
	exchange := &exchange{progressTimeout: c.ticket.ProgressTimeout}
	url := "http://" + grant.Address + "/v1/runs/" + c.id + "/stream"
	request, err := http.NewRequestWithContext(exchange.withTrace(ctx), http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set(headerLastEventID, strconv.Itoa(s.lastEventID))
	response, err := c.h.transports.unpooled.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = &deadlineBody{ReadCloser: response.Body, exchange: exchange}
	return response, nil
}

// endIncomplete ends an attempt whose response can't be completed.
func (c *call) endIncomplete(ctx context.Context, grant core.Grant, detail string) attemptEnd {
	if ctx.Err() != nil {
		return c.endCancelled(grant)
	}
	return attemptEnd{result: core.ResultLost, reason: core.ReasonResponseIncomplete, detail: detail}
}

func (c *call) logResume(grant core.Grant, s *streamState) {
	c.h.Log.Info("stream resumed", zap.String("request", c.id), zap.String("endpoint", grant.Endpoint),
		zap.Int("after_event", s.lastEventID), zap.Error(s.err))
}
