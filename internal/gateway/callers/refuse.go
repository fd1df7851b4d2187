package callers

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/gateway/admission"
	"kingcupcourse/internal/gateway/placement"
)

// refuse responds to the caller with a refusal.
func (c *call) refuse(refusal *core.Refusal) {
	if refusal.Reason != core.ReasonNoRoom { // logged by the budget, a line a second
		c.logRefusal(refusal)
	}
	c.refund(refusal)
	refusalsTotal.WithLabelValues(string(refusal.Disposition), string(refusal.Reason)).Inc()
	c.h.Protocol.WriteRefusal(c.w, c.request, refusal)
}

// refund gives back what a request was charged that did not run. Otherwise the
// requests that are refused for want of room would use up the account's limit, and
// the account would be refused below it.
func (c *call) refund(refusal *core.Refusal) {
	if !c.charged || c.possibleRuns > 0 || refusal.Disposition != core.NotRun {
		return
	}
	c.charged = false
	refundedUnits.Add(c.ticket.Units)
	c.sendToAdmission(admission.Refund{Account: c.ticket.Account, Units: c.ticket.Units})
}

// abortResponse aborts a response of which a part has been relayed, so that the
// caller does not take it for complete.
func (c *call) abortResponse(outcome attemptOutcome) {
	abortedTotal.Inc()
	c.h.Log.Info("answer broken off", zap.String("request", c.request.ID), zap.String("reason", string(outcome.reason)),
		zap.String("detail", outcome.detail), zap.Duration("after", time.Since(c.received)))
	panic(http.ErrAbortHandler)
}

func (c *call) logRefusal(refusal *core.Refusal) {
	c.h.Log.Info("request refused", zap.String("request", c.request.ID), zap.String("route", c.routeName()),
		zap.String("account", c.ticket.Account), zap.String("disposition", string(refusal.Disposition)),
		zap.String("reason", string(refusal.Reason)), zap.String("detail", refusal.Detail),
		zap.Int("running", c.lastChoice.Running), zap.Float64("expected_ms", c.lastChoice.ExpectedMS),
		zap.Int("prompt_tokens", c.request.PromptTokens), zap.Float64("units", c.ticket.Units),
		zap.Duration("retry_after", refusal.RetryAfter), zap.Uint64("configuration", c.ticket.ConfigVersion),
		zap.Duration("after", time.Since(c.received)))
}

func (c *call) logAttempt(placed placement.Placed, outcome attemptOutcome, elapsed time.Duration) {
	placedBy, priority := "host", strconv.Itoa(c.ticket.Priority)
	if placed.ByCoordinator {
		placedBy = "keeper"
	}
	c.recordZone(placed)
	attemptsTotal.WithLabelValues(string(outcome.result), placedBy).Inc()
	if outcome.delivered {
		responseSeconds.WithLabelValues(priority).Observe(time.Since(c.received).Seconds())
	}
	c.h.Log.Info("attempt ended", zap.String("request", c.request.ID), zap.String("route", c.routeName()),
		zap.String("account", c.ticket.Account), zap.String("endpoint", placed.Endpoint.Name),
		zap.Int("running", placed.Choice.Running), zap.Float64("expected_ms", placed.Choice.ExpectedMS),
		zap.Int("prompt_tokens", c.request.PromptTokens), zap.Int("output_bound", c.request.MaxOutputTokens),
		zap.Int("output_hint", c.request.OutputHint), zap.Int("events", c.eventCount.Events),
		zap.Bool("by_keeper", placed.ByCoordinator), zap.String("left_zone", string(placed.LeftZone)),
		zap.Duration("first", c.timeToFirstPart), zap.Uint64("configuration", c.ticket.ConfigVersion),
		zap.String("result", string(outcome.result)), zap.Int("status", outcome.status), zap.Bool("reused", outcome.reused), zap.String("reason", string(outcome.reason)),
		zap.String("detail", outcome.detail), zap.Duration("took", elapsed))
}

func (c *call) routeName() string {
	if c.ticket.Route == nil {
		return ""
	}
	return c.ticket.Route.Name
}
