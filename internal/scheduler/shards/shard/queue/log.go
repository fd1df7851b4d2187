package queue

import (
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/placement"
	waitlist "kingcupcourse/internal/decision/queue"
	"kingcupcourse/internal/message"
)

// logGrant logs a placement decision and updates its metrics.
func (d *Duty) logGrant(item *waitlist.Item, w *waiter, c *placement.Candidate, decision placement.Decision, now time.Time) {
	tier := tierLabel(item.Request.Tier)
	waited := now.Sub(w.arrived)
	grantsTotal.WithLabelValues(d.Shard.Pool, tier).Inc()
	grantWaitSeconds.WithLabelValues(d.Shard.Pool, tier).Observe(waited.Seconds())
	d.log.Info("placed",
		zap.String("request", item.Request.ID), zap.String("attempt", item.ID),
		zap.String("account", item.Request.Account), zap.Int("tier", int(item.Request.Tier)),
		zap.String("endpoint", c.Endpoint.Name), zap.String("version", string(c.Version)),
		zap.Int("candidates", len(d.candidates)), zap.Int("passed", decision.Passed),
		zap.Ints("rejected", decision.Rejected), zap.String("policy", d.Policy.Name),
		zap.Float64("score", decision.Score), zap.Int("cached_tokens", c.CachedTokens),
		zap.Duration("waited", waited), zap.Duration("expected", c.TimeToFinish()))
}

// logRefusal logs a refusal and counts it.
func (d *Duty) logRefusal(r *message.GrantRequest, refusal *core.Refusal) {
	refusedTotal.WithLabelValues(d.Shard.Pool, tierLabel(max(1, r.Tier)), string(refusal.Reason)).Inc()
	d.log.Info("refused",
		zap.String("request", r.RequestID), zap.String("attempt", r.Attempt),
		zap.String("account", r.Account), zap.Int("tier", int(r.Tier)),
		zap.String("reason", string(refusal.Reason)), zap.String("detail", refusal.Detail),
		zap.Duration("retry_after", refusal.RetryAfter))
}
