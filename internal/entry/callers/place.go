package callers

import (
	"context"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/entry/reports"
	"kingcupcourse/internal/message"
)

// placement is the grant of an attempt, or the recorded outcome of an earlier
// request with the same key.
type placement struct {
	grant core.Grant
	prior *core.PriorOutcome
	// fallback is set if this host placed the attempt without a scheduler.
	fallback bool
}

// place finds an endpoint for the next attempt.
func (c *call) place(ctx context.Context) (placement, *core.Refusal) {
	start := time.Now()
	reply, err := c.requestGrant(ctx)
	grantSeconds.Observe(time.Since(start).Seconds())
	c.journalAnswered = c.journalAnswered || err == nil
	switch {
	case ctx.Err() != nil:
		c.reportUndispatched()
		return placement{}, c.refusalBeforeDispatch()
	case err != nil && c.ticket.RunOnce:
		c.reportUndispatched()
		return placement{}, core.RefuseWithRetry(core.ReasonJournalUnavailable,
			"no scheduler can vouch for the idempotency key", time.Second)
	case err != nil:
		return c.placeByFallback(ctx)
	case reply.Refusal != nil:
		return placement{}, refusalFromMessage(reply.Refusal)
	case reply.Prior != nil:
		return placement{prior: reply.Prior}, nil
	}
	return placement{grant: *reply.Grant}, nil
}

func refusalFromMessage(received *message.Refusal) *core.Refusal {
	refusal := received.Refusal
	refusal.RetryAfter = time.Duration(received.RetryAfterMS) * time.Millisecond
	return &refusal
}

// refusalBeforeDispatch is the refusal of a request that ended before its
// dispatch.
func (c *call) refusalBeforeDispatch() *core.Refusal {
	if c.callerGone() {
		return core.Refuse(core.ReasonCallerGone, "the caller has gone")
	}
	return core.Refuse(core.ReasonDeadlinePassed, "the deadline passed before the request was placed")
}

// reportStarted tells the reports duty that the attempt is being dispatched.
func (c *call) reportStarted(placed placement) {
	running := message.RunningRequest{
		RequestID: c.id, Attempt: c.attempt, Endpoint: placed.grant.Endpoint,
		Route: c.ticket.Route, Account: c.account,
	}
	if c.parsed != nil {
		running.PromptTokens = c.parsed.PromptTokens()
		running.MaxOutputTokens = c.maxOutputTokens()
	}
	c.sendReport(reports.AttemptStarted{Shard: c.ticket.Shard, Running: running})
	c.logPlacement(placed)
}
