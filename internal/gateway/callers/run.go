package callers

import (
	"context"
	"strconv"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/gateway/admission"
	"kingcupcourse/internal/gateway/placement"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/sse"
)

const (
	// maxRejections bounds how many endpoints may turn one request away.
	maxRejections = 3
	// minRemaining is the least time to the deadline that makes another
	// attempt worth its cost.
	minRemaining = 30 * time.Millisecond
	// busyRetry is when a caller may come back whose request the endpoints
	// turned away.
	busyRetry = 300 * time.Millisecond
)

// ending is what is known of an attempt when it is over.
type ending struct {
	result core.Result
	reason core.Reason
	detail string
	status int
	// delivered tells that the caller has its final answer.
	delivered bool
}

// run places and dispatches the request until an attempt is the last one.
func (c *call) run(ctx context.Context) {
	for {
		placed, refusal := c.placeHealthy(ctx)
		if refusal != nil {
			if c.passed {
				c.breakOff(ending{reason: refusal.Reason, detail: refusal.Detail})
			}
			c.refuse(c.honest(refusal))
			return
		}
		c.began, c.firstPart, c.eventCount = time.Now(), 0, sse.Counter{}
		end := c.dispatch(ctx, placed.Endpoint)
		c.settle(placed, end, time.Since(c.began))
		if end.delivered {
			return
		}
		if (c.passed && !c.mayResume()) || !c.again(ctx, end) {
			c.fail(ctx, end)
			return
		}
		c.resumed = c.passed
	}
}

// mayResume tells whether a stream of which a part has been passed on may go
// on at another endpoint.
func (c *call) mayResume() bool { return c.ticket.Route.Resumable && c.lastEvent != "" }

// fail tells the caller that the last attempt brought no whole answer.
func (c *call) fail(ctx context.Context, end ending) {
	if c.passed {
		c.breakOff(end)
	}
	c.refuse(c.refusalOf(ctx, end))
}

// placeHealthy asks for an endpoint, unless endpoints died under the request.
func (c *call) placeHealthy(ctx context.Context) (placement.Placed, *core.Refusal) {
	if refusal := c.checkPoison(ctx); refusal != nil {
		return placement.Placed{}, refusal
	}
	return c.place(ctx)
}

// place asks for an endpoint.
func (c *call) place(ctx context.Context) (placement.Placed, *core.Refusal) {
	c.attempt = c.request.ID + "/" + strconv.Itoa(len(c.exclude)+1)
	placed := c.h.Place(ctx, placement.Request{
		Attempt: c.attempt, Host: c.h.Host, Service: c.ticket.Service,
		Route: c.routeName(), PromptTokens: c.request.PromptTokens, OutputTokens: c.expectedOutput(), MaxOutputTokens: c.request.MaxOutputTokens,
		ObjectiveMS: c.ticket.Route.LatencyObjective.Milliseconds(),
		Exclude:     c.exclude, RemainingMS: time.Until(c.ticket.Deadline).Milliseconds(), Coordinator: c.ticket.Coordinator,
	})
	c.choice = placed.Choice
	return placed, placed.Refusal
}

// expectedOutput is the caller's estimate of the output, or its bound.
func (c *call) expectedOutput() int {
	if c.request.OutputHint > 0 {
		return c.request.OutputHint
	}
	return c.request.MaxOutputTokens
}

// settle gives the place back and logs the attempt.
func (c *call) settle(placed placement.Placed, end ending, took time.Duration) {
	c.exclude = append(c.exclude, placed.Endpoint.Name)
	if end.result != core.ResultNotDispatched && end.result != core.ResultRejected {
		c.runs++
	}
	switch end.result {
	case core.ResultLost:
		c.noteDeath(placed.Endpoint.Endpoint)
	case core.ResultOK:
		if c.ticket.CheckPoison {
			c.tell(admission.Succeeded{Fingerprint: c.fingerprint()})
		}
	}
	c.report(placement.Update{
		Attempt: c.attempt, Result: end.result, FirstPartMS: inMilliseconds(c.firstPart), TotalMS: inMilliseconds(took),
		Events: c.eventCount.Events,
	})
	c.logAttempt(placed, end, took)
}

// report tells how the attempt goes on, also when the caller has gone.
func (c *call) report(update placement.Update) {
	report := placement.Report{Update: update, Coordinator: c.ticket.Coordinator}
	_ = c.h.Reports.Put(context.WithoutCancel(c.r.Context()), report)
}

func inMilliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// again decides whether the request is placed on another endpoint.
func (c *call) again(ctx context.Context, end ending) bool {
	if ctx.Err() != nil || time.Until(c.ticket.Deadline) < minRemaining {
		return false
	}
	switch end.result {
	case core.ResultNotDispatched:
		return len(c.exclude) < maxRejections
	case core.ResultRejected:
		return len(c.exclude) < maxRejections && c.mayRepeat(ctx)
	case core.ResultFailed, core.ResultLost:
		return c.repeatable() && c.runs < c.ticket.Route.MaxAttempts && c.mayRepeat(ctx)
	}
	return false
}

// mayRepeat asks for a part of what the service's requests may be repeated.
func (c *call) mayRepeat(ctx context.Context) bool {
	ask := admission.Retry{Reply: ring.NewReply[bool](), Service: c.ticket.Service}
	if c.h.Admission.Put(ctx, ask) != nil {
		return false
	}
	allowed, err := ask.Wait(ctx)
	return err == nil && allowed
}

// endedEarly is the refusal of a request that ended before its dispatch.
func (c *call) endedEarly() *core.Refusal {
	if c.callerGone() {
		return core.Refuse(core.ReasonCallerGone, "the caller has gone")
	}
	return core.RefuseWithRetry(core.ReasonDeadlinePassed, "the deadline passed before the request was placed", busyRetry)
}

// honest turns "not run" into "outcome unknown" when an attempt may have run.
func (c *call) honest(refusal *core.Refusal) *core.Refusal {
	if c.runs == 0 || refusal.Disposition != core.NotRun {
		return refusal
	}
	changed := *refusal
	changed.Disposition = core.OutcomeUnknown
	return &changed
}

// refusalOf tells the caller how the last attempt ended.
func (c *call) refusalOf(ctx context.Context, end ending) *core.Refusal {
	reason := end.reason
	if ctx.Err() != nil {
		reason = core.ReasonDeadlinePassed
	}
	if c.runs == 0 {
		return core.RefuseWithRetry(reason, end.detail, busyRetry)
	}
	return &core.Refusal{Disposition: core.OutcomeUnknown, Reason: reason, Detail: end.detail}
}
