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
		end := c.dispatchGood(ctx, placed.grant)
		if !c.settle(ctx, placed, end, c.again(ctx, end)) {
			c.answer(end)
			return
		}
	}
}

// again decides whether the request is placed on another endpoint.
func (c *call) again(ctx context.Context, end ending) bool {
	verdict := retry.Judge(retry.Attempt{
		RunOnce: c.ticket.RunOnce, Result: end.result, Passed: c.sink.passed,
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
	return true
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
