package callers

import (
	"context"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/entry/reports"
	"kingcupcourse/internal/ring"
)

const (
	// maxStoredResponseBytes limits a response that is stored for resends.
	maxStoredResponseBytes = 4 << 10
	// unkeyedRetention is how long the report of an outcome without a key is
	// retried.
	unkeyedRetention = 30 * time.Second
	// deathReportTimeout bounds how long a response is delayed until the owner
	// knows that an endpoint died during the request.
	deathReportTimeout = time.Second
)

// finishAttempt reports the end of an attempt and starts the next one if retry
// is set. The next attempt of a run-once request may start only after the
// owner has released its key; finishAttempt returns false if that did not
// happen in time.
func (c *call) finishAttempt(ctx context.Context, placed placement, end attemptEnd, retry bool) bool {
	c.logAttemptEnd(placed, end)
	if placed.fallback {
		c.releaseFallback()
	}
	ended := reports.AttemptEnded{
		Shard: c.ticket.Shard, Outcome: c.buildOutcome(placed.grant, end), KeepUntil: c.keepUntil(),
		Acknowledged: ring.NewReply[struct{}](),
	}
	c.sendReport(ended)
	if !retry {
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

// awaitDeathReport delays the response until the owner knows that an endpoint
// died during the request, so that the poison mark applies to a resend at
// whichever host it arrives. The delay is at most deathReportTimeout.
func (c *call) awaitDeathReport(ended reports.AttemptEnded) {
	if !ended.Outcome.EndpointDied {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.r.Context()), deathReportTimeout)
	defer cancel()
	_, _ = ended.Acknowledged.Wait(ctx) // on a timeout, gossip still delivers the mark
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
	if response := end.response; response != nil && c.ticket.RunOnce && len(response.body) <= maxStoredResponseBytes {
		outcome.ResponseBody, outcome.ContentType = response.body, response.header.Get("Content-Type")
	}
	return outcome
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
