package callers

import (
	"context"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/entry/reports"
	"kingcupcourse/internal/ring"
)

const (
	// maxKeptAnswerBytes bounds an answer that is kept for a resend.
	maxKeptAnswerBytes = 4 << 10
	// unkeyedRetention is how long an outcome without a key is resent.
	unkeyedRetention = 30 * time.Second
	// markPatience bounds how long an answer waits for the owner to know
	// that an endpoint died under the request.
	markPatience = time.Second
)

// settle reports the end of an attempt and begins the next one. The next
// attempt of a run-once request may begin only when the owner has released
// its key from this one; settle returns false if that did not come in time.
func (c *call) settle(ctx context.Context, placed placement, end ending, again bool) bool {
	c.logEnd(placed, end)
	if placed.fallback {
		c.freeAlone()
	}
	ended := reports.Ended{
		Shard: c.ticket.Shard, Outcome: c.outcome(placed.grant, end), KeepUntil: c.keepUntil(),
		Acknowledged: ring.NewReply[struct{}](),
	}
	c.tell(ended)
	if !again {
		c.awaitMark(ended)
		return false
	}
	c.attempt = newID()
	if !c.ticket.RunOnce {
		return true
	}
	_, err := ended.Acknowledged.Wait(ctx)
	return err == nil
}

// awaitMark holds the answer back until the owner knows that an endpoint died
// under the request, so that the caller's resend meets the mark wherever it is
// sent. The caller does not wait longer than markPatience for it.
func (c *call) awaitMark(ended reports.Ended) {
	if !ended.Outcome.EndpointDied {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.r.Context()), markPatience)
	defer cancel()
	_, _ = ended.Acknowledged.Wait(ctx) // the mark is also gossiped
}

func (c *call) keepUntil() time.Time {
	if c.ticket.RunOnce {
		return time.Now().Add(c.ticket.KeyRetention)
	}
	return time.Now().Add(unkeyedRetention)
}

func (c *call) outcome(grant core.Grant, end ending) core.Outcome {
	outcome := core.Outcome{
		RequestID: c.id, Attempt: grant.Attempt, Pool: c.ticket.Pool, Route: c.ticket.Route,
		Account: c.account, Endpoint: grant.Endpoint, Version: grant.Version, Key: c.ticket.IdempotencyKey,
		Result: end.result, Status: end.status, EndpointDraining: end.leaving, OutputTokens: end.tokens,
		FirstTokenMS: milliseconds(end.firstToken), TotalMS: milliseconds(end.total),
	}
	if end.died || end.result == core.ResultOK {
		outcome.EndpointDied, outcome.Fingerprint = end.died, c.fingerprint
	}
	if end.version != "" {
		outcome.Version = end.version
	}
	if c.parsed != nil {
		outcome.PromptTokens = c.parsed.PromptTokens()
	}
	if end.tokens > 1 {
		outcome.BetweenTokensMS = milliseconds(end.total-end.firstToken) / float64(end.tokens-1)
	}
	if a := end.answer; a != nil && c.ticket.RunOnce && len(a.body) <= maxKeptAnswerBytes {
		outcome.ResponseBody, outcome.ContentType = a.body, a.header.Get("Content-Type")
	}
	return outcome
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
