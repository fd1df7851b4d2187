package callers

import (
	"context"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/retry"
	"kingcupcourse/internal/entry/admission"
	"kingcupcourse/internal/ring"
)

// run places and dispatches the request until no attempt follows, and then
// responds to the caller.
func (c *call) run(ctx context.Context) {
	for {
		placed, refusal := c.place(ctx)
		switch {
		case refusal != nil:
			c.refuse(refusal)
			return
		case placed.prior != nil:
			c.replay(placed.prior)
			return
		}
		c.reportStarted(placed)
		deathsBefore := c.endpointDeaths
		dispatchCtx, cancel := c.dispatchContext(ctx)
		end := c.dispatchUnlessBad(dispatchCtx, placed.grant)
		cancel()
		end.endpointDied = c.endpointDeaths > deathsBefore
		if !c.finishAttempt(ctx, placed, end, c.shouldRetry(ctx, end)) {
			c.respond(end)
			return
		}
	}
}

// dispatchContext bounds the dispatch by the caller's connection and the
// deadline. A run-once call to a service is bounded by the deadline only: it
// can't be undone, and its recorded response is replayed to a resend.
func (c *call) dispatchContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.ticket.RunOnce && c.ticket.Kind == core.KindService {
		return context.WithDeadline(context.WithoutCancel(ctx), c.ticket.Deadline)
	}
	return context.WithCancel(ctx)
}

// shouldRetry decides whether the request is placed on another endpoint.
func (c *call) shouldRetry(ctx context.Context, end attemptEnd) bool {
	decision := retry.Decide(retry.Attempt{
		RunOnce: c.ticket.RunOnce, Result: end.result, Poisonous: c.isPoison(), ResponseStarted: c.sink.started,
		Dispatches: c.dispatches, Now: time.Now(), Deadline: c.ticket.Deadline,
	})
	if ctx.Err() != nil || decision == retry.Stop {
		return false
	}
	if decision == retry.Free {
		retriesTotal.WithLabelValues("not_run").Inc()
		return true
	}
	request := admission.RequestRetry{Reply: ring.NewReply[bool]()}
	allowed, refusal := askAdmission(ctx, c.h.Admission, request, request.Reply)
	if refusal != nil || !allowed {
		retriesTotal.WithLabelValues("over_budget").Inc()
		return false
	}
	retriesTotal.WithLabelValues("budgeted").Inc()
	return c.pauseAfterDeath(ctx, end) == nil
}

// pauseAfterDeath waits before the next attempt if the endpoint died during
// the last one.
func (c *call) pauseAfterDeath(ctx context.Context, end attemptEnd) error {
	if !end.endpointDied {
		return nil
	}
	return ring.Pause(ctx, retry.PauseAfterDeath(c.fingerprint))
}

// respond sends the result of the last attempt to the caller.
func (c *call) respond(end attemptEnd) {
	if end.result != core.ResultOK {
		c.refuse(c.refusalForEnd(end))
		return
	}
	if end.response != nil {
		c.writeResponse(end.response)
	}
	c.succeeded = true
	c.recordMetrics(string(end.result))
}
