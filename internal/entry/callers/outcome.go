package callers

import (
	"context"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/entry/reports"
	"kingcupcourse/internal/ring"
)

const (
	// maxStoredResponseBytes bounds an answer that is kept for a resend.
	maxStoredResponseBytes = 4 << 10
	// unkeyedRetention is how long an outcome without a key is resent.
	unkeyedRetention = 30 * time.Second
	// deathReportTimeout bounds how long an answer waits for the owner to know
	// that an endpoint died under the request.
	deathReportTimeout = time.Second
)

// finishAttempt reports the end of an attempt and begins the next one. The next
// attempt of a run-once request may begin only when the owner has released
// its key from this one; finishAttempt returns false if that did not come in time.
func (c *call) finishAttempt(ctx context.Context, placed placement, end attemptEnd, again bool) bool {
	c.logAttemptEnd(placed, end)
	if placed.fallback {
		c.releaseFallback()
	}
	ended := reports.AttemptEnded{
		Shard: c.ticket.Shard, Outcome: c.buildOutcome(placed.grant, end), KeepUntil: c.keepUntil(),
		Acknowledged: ring.NewReply[struct{}](),
	}
	c.sendReport(ended)
	if !again {
		c.awaitDeathReport(ended)
		return false
	}
	c.attempt = newID()
	if !c.ticket.RunOnce {
		return true
	}
	_, err := ended.Acknowledged.Wait(ctx)
	return err == nil
}

// awaitDeathReport holds the answer back until the owner knows that an endpoint died
// under the request, so that the caller's resend meets the mark wherever it is
// sent. The caller does not wait longer than markPatience for it.
func (c *call) awaitDeathReport(ended reports.AttemptEnded) {
	if !ended.Outcome.EndpointDied {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.r.Context()), deathReportTimeout)
	defer cancel()
	_, _ = ended.Acknowledged.Wait(ctx) // the mark is also gossiped
}

func (c *call) keepUntil() time.Time {
	if c.ticket.RunOnce {
		return time.Now().Add(c.ticket.KeyRetention)
	}
	return time.Now().Add(unkeyedRetention)
}

func (c *call) buildOutcome(grant core.Grant, end attemptEnd) core.Outcome {
	outcome := core.Outcome{
		RequestID: c.id, Attempt: grant.Attempt, Pool: c.ticket.Pool, Route: c.ticket.Route,
		Account: c.account, Endpoint: grant.Endpoint, Version: grant.Version, Key: c.ticket.IdempotencyKey,
		Result: end.result, Status: end.status, EndpointDraining: end.endpointDraining, OutputTokens: end.outputTokens,
		FirstTokenMS: milliseconds(end.firstToken), TotalMS: milliseconds(end.totalTime),
	}
	if end.endpointDied || end.result == core.ResultOK {
		outcome.EndpointDied, outcome.Fingerprint = end.endpointDied, c.fingerprint
	}
	if end.version != "" {
		outcome.Version = end.version
	}
	if c.parsed != nil {
		outcome.PromptTokens = c.parsed.PromptTokens()
	}
	if end.outputTokens > 1 {
		outcome.BetweenTokensMS = milliseconds(end.totalTime-end.firstToken) / float64(end.outputTokens-1)
	}
	if a := end.response; a != nil && c.ticket.RunOnce && len(a.body) <= maxStoredResponseBytes {
		outcome.ResponseBody, outcome.ContentType = a.body, a.header.Get("Content-Type")
	}
	return outcome
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
