package callers

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/gateway/placement"
)

// refuse answers the caller with a refusal.
func (c *call) refuse(refusal *core.Refusal) {
	c.logRefusal(refusal)
	refusalsTotal.WithLabelValues(string(refusal.Disposition), string(refusal.Reason)).Inc()
	c.h.Protocol.WriteRefusal(c.w, c.request, refusal)
}

// breakOff ends an answer of which a part has been passed on, so that it does
// not look complete.
func (c *call) breakOff(end ending) {
	brokenOffTotal.Inc()
	c.h.Log.Info("answer broken off", zap.String("request", c.request.ID), zap.String("reason", string(end.reason)),
		zap.String("detail", end.detail), zap.Duration("after", time.Since(c.received)))
	panic(http.ErrAbortHandler)
}

func (c *call) logRefusal(refusal *core.Refusal) {
	c.h.Log.Info("request refused", zap.String("request", c.request.ID), zap.String("route", c.routeName()),
		zap.String("account", c.ticket.Account), zap.String("disposition", string(refusal.Disposition)),
		zap.String("reason", string(refusal.Reason)), zap.String("detail", refusal.Detail),
		zap.Int("running", c.choice.Running), zap.Float64("expected_ms", c.choice.ExpectedMS),
		zap.Duration("retry_after", refusal.RetryAfter), zap.Uint64("configuration", c.ticket.ConfigVersion),
		zap.Duration("after", time.Since(c.received)))
}

func (c *call) logAttempt(placed placement.Placed, end ending, took time.Duration) {
	by, priority := "host", strconv.Itoa(c.ticket.Priority)
	if placed.ByCoordinator {
		by = "keeper"
	}
	attemptsTotal.WithLabelValues(string(end.result), by).Inc()
	if end.delivered {
		answerSeconds.WithLabelValues(priority).Observe(time.Since(c.received).Seconds())
	}
	c.h.Log.Info("attempt ended", zap.String("request", c.request.ID), zap.String("route", c.routeName()),
		zap.String("account", c.ticket.Account), zap.String("endpoint", placed.Endpoint.Name),
		zap.Int("running", placed.Choice.Running), zap.Float64("expected_ms", placed.Choice.ExpectedMS),
		zap.Int("prompt_tokens", c.request.PromptTokens), zap.Int("output_bound", c.request.MaxOutputTokens),
		zap.Int("output_hint", c.request.OutputHint), zap.Int("events", c.eventCount.Events),
		zap.Bool("by_keeper", placed.ByCoordinator), zap.Duration("first", c.firstPart), zap.Uint64("configuration", c.ticket.ConfigVersion),
		zap.String("result", string(end.result)), zap.Int("status", end.status), zap.String("reason", string(end.reason)),
		zap.String("detail", end.detail), zap.Duration("took", took))
}

func (c *call) routeName() string {
	if c.ticket.Route == nil {
		return ""
	}
	return c.ticket.Route.Name
}
