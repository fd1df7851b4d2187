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
		c.begin(placed)
		deaths := c.deaths
		dispatching, cancel := c.dispatchContext(ctx)
		end := c.dispatchGood(dispatching, placed.grant)
		cancel()
		end.died = c.deaths > deaths
		if !c.settle(ctx, placed, end, c.again(ctx, end)) {
			c.answer(end)
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

// again decides whether the request is placed on another endpoint.
func (c *call) again(ctx context.Context, end ending) bool {
	verdict := retry.Decide(retry.Attempt{
		RunOnce: c.ticket.RunOnce, Result: end.result, Poisonous: c.poison(), AnswerStarted: c.sink.passed,
		Dispatches: c.dispatches, Now: time.Now(), Deadline: c.ticket.Deadline,
	})
	if ctx.Err() != nil || verdict == retry.Stop {
		return false
	}
	if verdict == retry.Free {
		retriesTotal.WithLabelValues("not_run").Inc()
		return true
	}
	ask := admission.RetryAsk{Reply: ring.NewReply[bool]()}
	allowed, refusal := consult(ctx, c.h.Admission, ask, ask.Reply)
	if refusal != nil || !allowed {
		retriesTotal.WithLabelValues("over_budget").Inc()
		return false
	}
	retriesTotal.WithLabelValues("budgeted").Inc()
	return c.pauseAfterDeath(ctx, end) == nil
}

// pauseAfterDeath waits before the next attempt if the endpoint died under
// the last one.
func (c *call) pauseAfterDeath(ctx context.Context, end ending) error {
	if !end.died {
		return nil
	}
	return ring.Pause(ctx, retry.PauseAfterDeath(c.fingerprint))
}

// answer gives the caller the result of the last attempt.
func (c *call) answer(end ending) {
	if end.result != core.ResultOK {
		c.refuse(c.refusalOf(end))
		return
	}
	if end.answer != nil {
		c.writeAnswer(end.answer)
	}
	c.finishedWell = true
	c.observe(string(end.result))
}
