package callers

import (
	"context"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/retry"
	"kingcupcourse/internal/entry/admission"
	"kingcupcourse/internal/ring"
)

// run places and dispatches the request until an attempt is the last one,
// and answers the caller.
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
		deaths := c.endpointDeaths
		dispatching, cancel := c.dispatchContext(ctx)
		end := c.dispatchUnlessBad(dispatching, placed.grant)
		cancel()
		end.endpointDied = c.endpointDeaths > deaths
		if !c.finishAttempt(ctx, placed, end, c.shouldRetry(ctx, end)) {
			c.respond(end)
			return
		}
	}
}

// dispatchContext bounds the dispatch: by the caller's presence and the
// deadline, but a run-once call to a service by the deadline alone. It can't
// be taken back, and its recorded answer serves the caller's resend.
func (c *call) dispatchContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.ticket.RunOnce && c.ticket.Kind == core.KindService {
		return context.WithDeadline(context.WithoutCancel(ctx), c.ticket.Deadline)
	}
	return context.WithCancel(ctx)
}

// shouldRetry decides whether the request is placed on another endpoint.
func (c *call) shouldRetry(ctx context.Context, end attemptEnd) bool {
	verdict := retry.Decide(retry.Attempt{
		RunOnce: c.ticket.RunOnce, Result: end.result, Poisonous: c.isPoison(), AnswerStarted: c.sink.started,
		Dispatches: c.dispatches, Now: time.Now(), Deadline: c.ticket.Deadline,
	})
	if ctx.Err() != nil || verdict == retry.Stop {
		return false
	}
	if verdict == retry.Free {
		retriesTotal.WithLabelValues("not_run").Inc()
		return true
	}
	ask := admission.RequestRetry{Reply: ring.NewReply[bool]()}
	allowed, refusal := askAdmission(ctx, c.h.Admission, ask, ask.Reply)
	if refusal != nil || !allowed {
		retriesTotal.WithLabelValues("over_budget").Inc()
		return false
	}
	retriesTotal.WithLabelValues("budgeted").Inc()
	return c.pauseAfterDeath(ctx, end) == nil
}

// pauseAfterDeath waits before the next attempt if the endpoint died under
// the last one.
func (c *call) pauseAfterDeath(ctx context.Context, end attemptEnd) error {
	if !end.endpointDied {
		return nil
	}
	return ring.Pause(ctx, retry.PauseAfterDeath(c.fingerprint))
}

// respond gives the caller the result of the last attempt.
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
