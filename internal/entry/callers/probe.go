package callers

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"kingcupcourse/internal/core"
)

const (
	// probeTimeout bounds the health check of an endpoint on a new connection.
	probeTimeout = time.Second
	// cancelTimeout bounds the call that cancels a run.
	cancelTimeout = 2 * time.Second
)

var errUnhealthy = eris.New("the endpoint's health check failed")

// probe checks the endpoint's health on a new connection. It returns nil if
// the endpoint is healthy.
func (c *call) probe(ctx context.Context, grant core.Grant) error {
	probesTotal.Inc()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+grant.Address+"/healthz", nil)
	if err != nil {
		return err
	}
	response, err := c.h.transports.unpooled.RoundTrip(request)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswerHeaderBytes))
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errUnhealthy
	}
	return nil
}

// endLost ends an attempt whose connection failed before the complete response
// arrived. It probes the endpoint to find out whether it died.
func (c *call) endLost(ctx context.Context, grant core.Grant, cause error) attemptEnd {
	if isTimeout(cause) {
		c.h.transports.closeIdle()
	}
	if err := c.probe(ctx, grant); isDialError(err) && ctx.Err() == nil && !isTimeout(cause) {
		c.recordEndpointDeath(grant.Endpoint)
	}
	if ctx.Err() != nil {
		return c.endCancelled(grant)
	}
	return attemptEnd{result: core.ResultLost, reason: core.ReasonEndpointFailed, detail: cause.Error()}
}

// endCancelled ends an attempt whose caller disconnected or whose deadline
// passed. It cancels the run at the engine; a run-once run is cancelled only
// if its caller has disconnected.
func (c *call) endCancelled(grant core.Grant) attemptEnd {
	end := attemptEnd{result: core.ResultCancelled, reason: core.ReasonDeadlinePassed,
		detail: "the deadline passed before the whole answer"}
	if c.callerGone() {
		end.reason, end.detail = core.ReasonCallerGone, "the caller has gone"
	}
	if c.ticket.Kind == core.KindModel && (c.callerGone() || !c.ticket.RunOnce) {
		c.cancelRun(grant)
	}
	return end
}

func (c *call) cancelRun(grant core.Grant) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.r.Context()), cancelTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+grant.Address+"/v1/runs/"+c.id, nil)
	if err != nil {
		return
	}
	if response, err := c.h.transports.unpooled.RoundTrip(request); err == nil {
		_ = response.Body.Close()
	}
}
