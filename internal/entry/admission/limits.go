package admission

import (
	"time"

	"golang.org/x/time/rate"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/manifest"
)

// rateLimiters holds the rate limiter of each account with a limit. The burst
// equals the requests of one second.
type rateLimiters struct {
	byAccount map[string]*rate.Limiter
}

func newRateLimiters() *rateLimiters { return &rateLimiters{byAccount: map[string]*rate.Limiter{}} }

// allow counts one request. It returns nil if the account is within its limit.
func (l *rateLimiters) allow(account *manifest.ClientAccount, now time.Time) *core.Refusal {
	if account.RequestsPerSecond <= 0 {
		delete(l.byAccount, account.Name)
		return nil
	}
	limit := rate.Limit(account.RequestsPerSecond)
	limiter := l.byAccount[account.Name]
	if limiter == nil {
		limiter = rate.NewLimiter(limit, burst(limit))
		l.byAccount[account.Name] = limiter
	}
	if limiter.Limit() != limit {
		limiter.SetLimitAt(now, limit)
		limiter.SetBurstAt(now, burst(limit))
	}
	if limiter.AllowN(now, 1) {
		return nil
	}
	wait := time.Duration(float64(time.Second) / float64(limit))
	return core.RefuseWithRetry(core.ReasonRateLimited, "the account is over its request rate", wait)
}

func burst(limit rate.Limit) int { return max(1, int(limit)) }
