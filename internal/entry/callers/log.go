package callers

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/core"
)

// logFields returns the fields that every log line about the call has.
func (c *call) logFields(more ...zap.Field) []zap.Field {
	fields := []zap.Field{
		zap.String("request", c.id), zap.String("account", c.account),
		zap.Int("tier", int(c.ticket.Tier)), zap.String("route", c.ticket.Route),
		zap.String("pool", c.ticket.Pool),
	}
	return append(fields, more...)
}

func (c *call) logPlacement(placed placement) {
	source := "granted"
	if placed.fallback {
		source = "fallback: no scheduler answers"
	}
	c.h.Log.Info("placed", c.logFields(
		zap.String("endpoint", placed.grant.Endpoint), zap.String("version", string(placed.grant.Version)),
		zap.String("attempt", c.attempt), zap.Strings("excluded", c.exclude), zap.String("why", source))...)
}

func (c *call) logAttemptEnd(placed placement, end attemptEnd) {
	c.h.Log.Info("attempt ended", c.logFields(
		zap.String("endpoint", placed.grant.Endpoint), zap.String("attempt", c.attempt),
		zap.String("result", string(end.result)), zap.Int("status", end.status),
		zap.Int("tokens", end.outputTokens), zap.Duration("total", end.totalTime),
		zap.String("reason", string(end.reason)), zap.String("detail", end.detail))...)
}

func (c *call) logRefusal(refusal *core.Refusal) {
	c.h.Log.Info("refused", c.logFields(
		zap.String("disposition", string(refusal.Disposition)),
		zap.String("reason", string(refusal.Reason)), zap.String("detail", refusal.Detail))...)
}

func (c *call) logReplay() { c.h.Log.Info("replayed", c.logFields()...) }

func (c *call) tierLabel() string { return strconv.Itoa(int(c.ticket.Tier)) }

// recordMetrics records the metrics of a finished call.
func (c *call) recordMetrics(result string) {
	requestsTotal.WithLabelValues(c.ticket.Route, c.tierLabel(), result).Inc()
	requestSeconds.WithLabelValues(c.ticket.Route, c.tierLabel()).Observe(time.Since(c.started).Seconds())
	overheadSeconds.Observe(c.overhead.Seconds())
}
