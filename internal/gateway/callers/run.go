package callers

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/gateway/admission"
	"kingcupcourse/internal/gateway/placement"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/sse"
)

const (
	// maxRejections bounds how many endpoints may reject one request.
	maxRejections = 3
	// minTimeForRetry is the least time to the deadline at which another attempt
	// is worthwhile.
	minTimeForRetry = 30 * time.Millisecond
	// busyRetryAfter is the retry delay for a request that the endpoints rejected.
	busyRetryAfter = 300 * time.Millisecond
)

// attemptOutcome is the outcome of a finished attempt.
type attemptOutcome struct {
	result core.Result
	reason core.Reason
	detail string
	status int
	// reused reports that the connection carried an earlier request.
	reused bool
	// delivered reports that the caller has got its final response.
	delivered bool
}

// run places and dispatches the request until it succeeds or may not be retried.
func (c *call) run(ctx context.Context) {
	for {
		placed, refusal := c.placeUnlessPoison(ctx)
		if refusal != nil {
			if c.responseStarted {
				c.abortResponse(attemptOutcome{reason: refusal.Reason, detail: refusal.Detail})
			}
			c.refuse(c.correctDisposition(refusal))
			return
		}
		c.attemptStarted, c.timeToFirstPart, c.eventCount, c.leavingIncarnation = time.Now(), 0, sse.Counter{}, 0
		c.answerBegun, c.answerBytes = false, 0
		outcome := c.dispatch(ctx, placed.Endpoint)
		c.finishAttempt(placed, outcome, time.Since(c.attemptStarted))
		if outcome.delivered {
			return
		}
		if (c.responseStarted && !c.canResume()) || !c.shouldRetry(ctx, outcome) {
			c.fail(ctx, outcome)
			return
		}
		c.resuming = c.responseStarted
	}
}

// canResume reports whether a partly relayed stream may resume at another
// endpoint.
func (c *call) canResume() bool { return c.ticket.Route.Resumable && c.lastEventID != "" }

// fail ends a request whose last attempt brought no complete response: it aborts
// a response that has been started, and refuses the request otherwise.
func (c *call) fail(ctx context.Context, outcome attemptOutcome) {
	if c.responseStarted {
		c.abortResponse(outcome)
	}
	c.refuse(c.refusalFor(ctx, outcome))
}

// placeUnlessPoison requests an endpoint, unless the request has caused endpoint
// deaths.
func (c *call) placeUnlessPoison(ctx context.Context) (placement.Placed, *core.Refusal) {
	if refusal := c.checkPoison(ctx); refusal != nil {
		return placement.Placed{}, refusal
	}
	return c.place(ctx)
}

// place requests an endpoint.
func (c *call) place(ctx context.Context) (placement.Placed, *core.Refusal) {
	c.attempt = c.request.ID + "/" + strconv.Itoa(len(c.triedEndpoints)+1)
	placed := c.h.Place(ctx, placement.Request{
		Attempt: c.attempt, Host: c.h.Host, Service: c.ticket.Service,
		Route: c.routeName(), PromptTokens: c.request.PromptTokens, OutputTokens: c.expectedOutputTokens(), MaxOutputTokens: c.request.MaxOutputTokens,
		Account: c.ticket.Account, AccountWeight: c.ticket.AccountWeight, Tier: c.ticket.Tier,
		ObjectiveMS:    c.ticket.Route.LatencyObjective.Milliseconds(),
		AllowedRegions: c.ticket.AllowedRegions, BodyBytes: len(c.body),
		Exclude: c.triedEndpoints, RemainingMS: time.Until(c.ticket.Deadline).Milliseconds(),
	})
	c.lastChoice = placed.Choice
	return placed, placed.Refusal
}

// expectedOutputTokens returns the caller's estimate of the output length, or its
// output limit if it gave no estimate.
func (c *call) expectedOutputTokens() int {
	if c.request.OutputHint > 0 {
		return c.request.OutputHint
	}
	return c.request.MaxOutputTokens
}

// finishAttempt releases the placement and logs the attempt.
func (c *call) finishAttempt(placed placement.Placed, outcome attemptOutcome, elapsed time.Duration) {
	c.triedEndpoints = append(c.triedEndpoints, placed.Endpoint.Name)
	if outcome.result != core.ResultNotDispatched && outcome.result != core.ResultRejected {
		c.possibleRuns++
	}
	switch outcome.result {
	case core.ResultLost:
		c.reportDeath(placed.Endpoint)
	case core.ResultOK:
		if !c.answerUnderway() && outcome.status < http.StatusMultipleChoices {
			c.reportAnswered()
		}
		if c.h.HasSuspects() {
			c.sendToAdmission(admission.Succeeded{Fingerprint: c.fingerprint()})
		}
	}
	c.report(placement.Update{
		Attempt: c.attempt, Result: outcome.result, FirstPartMS: toMilliseconds(c.timeToFirstPart), TotalMS: toMilliseconds(elapsed),
		Events: c.eventCount.Events, LeavingIncarnation: c.leavingIncarnation,
	})
	c.logAttempt(placed, outcome, elapsed)
}

// report reports an update on the attempt, even if the caller has disconnected.
func (c *call) report(update placement.Update) {
	_ = c.h.Reports.Put(context.WithoutCancel(c.r.Context()), update)
}

func toMilliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// shouldRetry reports whether the request is to be placed on another endpoint.
func (c *call) shouldRetry(ctx context.Context, outcome attemptOutcome) bool {
	if ctx.Err() != nil || time.Until(c.ticket.Deadline) < minTimeForRetry {
		return false
	}
	switch outcome.result {
	case core.ResultNotDispatched:
		return len(c.triedEndpoints) < maxRejections
	case core.ResultRejected:
		return len(c.triedEndpoints) < maxRejections && c.spendRetry(ctx)
	case core.ResultFailed, core.ResultLost:
		return c.repeatable() && c.possibleRuns < c.ticket.Route.MaxAttempts && c.spendRetry(ctx)
	}
	return false
}

// spendRetry asks for one retry from the service's retry budget.
func (c *call) spendRetry(ctx context.Context) bool {
	query := admission.Retry{Reply: ring.NewReply[bool](), Service: c.ticket.Service}
	if c.h.Admission.Put(ctx, query) != nil {
		return false
	}
	allowed, err := query.Wait(ctx)
	return err == nil && allowed
}

// endedBeforePlacement returns the refusal of a request that ended before it was
// dispatched.
func (c *call) endedBeforePlacement() *core.Refusal {
	if c.callerGone() {
		return core.Refuse(core.ReasonCallerGone, "the caller has gone")
	}
	return core.RefuseWithRetry(core.ReasonDeadlinePassed, "the deadline passed before the request was placed", busyRetryAfter)
}

// correctDisposition changes "not run" to "outcome unknown" if an attempt may
// have run.
func (c *call) correctDisposition(refusal *core.Refusal) *core.Refusal {
	if c.possibleRuns == 0 || refusal.Disposition != core.NotRun {
		return refusal
	}
	corrected := *refusal
	corrected.Disposition = core.OutcomeUnknown
	return &corrected
}

// refusalFor returns the refusal that reports the outcome of the last attempt.
func (c *call) refusalFor(ctx context.Context, outcome attemptOutcome) *core.Refusal {
	reason := outcome.reason
	if ctx.Err() != nil {
		reason = core.ReasonDeadlinePassed
	}
	if c.possibleRuns == 0 {
		return core.RefuseWithRetry(reason, outcome.detail, busyRetryAfter)
	}
	return &core.Refusal{Disposition: core.OutcomeUnknown, Reason: reason, Detail: outcome.detail}
}
