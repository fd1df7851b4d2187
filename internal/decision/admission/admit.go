package admission

import (
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/ownership"
	"kingcupcourse/internal/decision/poison"
	"kingcupcourse/internal/manifest"
)

const (
	// PoisonRetryAfter is how long a refused fingerprint is asked to wait.
	PoisonRetryAfter = 10 * time.Minute
	// tierReserveFraction is the share of the in-progress bound that each tier
	// leaves to the more important ones.
	tierReserveFraction = 0.1
)

// Request is what a caller wants and what is known of its body.
type Request struct {
	Account             *manifest.ClientAccount
	Method, Path, Model string
	// Tier is the tier asked for, zero for the route's.
	Tier core.Tier
	// Timeout is the time to the deadline that the caller asked for.
	// HasDeadline tells whether it asked for one.
	Timeout    time.Duration
	HasTimeout bool
	// IdempotencyKey is the idempotency key, empty if the caller sent none. KeyTime is
	// the time within it, zero if it is not a UUIDv7.
	IdempotencyKey string
	KeyTime        time.Time
	// BodyBytes is the size of the request body.
	BodyBytes int64
	// PoisonMarks counts the endpoints that died under the fingerprint.
	PoisonMarks int
}

// Load is how full the entry host is.
type Load struct {
	InProgress, MaxInProgress int
}

// Decision are the terms under which a request is let in.
type Decision struct {
	Account core.ClientAccount
	Route   string
	Pool    string
	Kind    core.Kind
	Tier    core.Tier
	RunOnce bool
	// IdempotencyKey is the idempotency key of a run-once request, else empty.
	IdempotencyKey string
	Deadline       time.Time
	OutputTokens   int
	// ProgressTimeout is how long a connection to an endpoint may be silent.
	ProgressTimeout time.Duration
	// KeyRetention is how long the pool remembers an idempotency key.
	KeyRetention time.Duration
	// Shard is where permission to dispatch is asked for.
	Shard ownership.Shard
}

// Admit decides about one request. Region is where the entry host is.
func (p *Policy) Admit(ask Request, load Load, region core.Region, now time.Time) (Decision, *core.Refusal) {
	route, pool := p.resolveRoute(ask)
	if pool == nil {
		return Decision{}, core.Refuse(core.ReasonUnknownRoute, "no route takes this method, path and model")
	}
	terms := Decision{
		Account: coreAccount(ask.Account), Route: route.Name, Pool: pool.Name, Kind: pool.Kind,
		Tier: p.effectiveTier(ask, route), RunOnce: route.RunOnce, OutputTokens: route.OutputTokens,
		ProgressTimeout: time.Duration(pool.ProgressTimeoutMS) * time.Millisecond,
		KeyRetention:    time.Duration(pool.RetentionMS) * time.Millisecond,
		Shard:           ownership.Shard{Pool: pool.Name, Region: region},
	}
	if ask.BodyBytes > route.MaxBodyBytes {
		return Decision{}, core.Refuse(core.ReasonTooLarge, "the request body is larger than the route allows")
	}
	if route.RunOnce {
		if refusal := validateKey(ask, pool, now); refusal != nil {
			return Decision{}, refusal
		}
		terms.IdempotencyKey = ask.IdempotencyKey
		terms.Shard.Region = ask.Account.HomeRegion
	}
	if ask.HasTimeout && ask.Timeout <= 0 {
		return Decision{}, core.Refuse(core.ReasonDeadlinePassed, "the deadline has passed")
	}
	terms.Deadline = now.Add(requestTimeout(ask, route))
	if ask.PoisonMarks >= poison.DeathLimit {
		return Decision{}, core.RefuseWithRetry(core.ReasonPoison,
			"endpoints died under this request", PoisonRetryAfter)
	}
	if exceedsTierLimit(terms.Tier, load) {
		return Decision{}, core.RefuseWithRetry(core.ReasonQueueFull, "the entry host is full", time.Second)
	}
	return terms, nil
}

// resolveRoute returns the route of a request and its pool, nil if there is none.
func (p *Policy) resolveRoute(ask Request) (*manifest.Route, *manifest.Pool) {
	route, ok := p.MatchRoute(ask.Method, ask.Path, ask.Model)
	if !ok {
		return nil, nil
	}
	pool, _ := p.Pool(route.Pool)
	return route, pool
}

func coreAccount(a *manifest.ClientAccount) core.ClientAccount {
	return core.ClientAccount{Name: a.Name, MaxTier: a.MaxTier, Weight: a.Weight, HomeRegion: a.HomeRegion}
}

// effectiveTier returns the least important of the route's effectiveTier, the account's most
// important effectiveTier and the effectiveTier asked for.
func (p *Policy) effectiveTier(ask Request, route *manifest.Route) core.Tier {
	return min(max(route.Tier, ask.Account.MaxTier, ask.Tier), core.Tier(p.Tiers))
}

func requestTimeout(ask Request, route *manifest.Route) time.Duration {
	most := time.Duration(route.DeadlineMS) * time.Millisecond
	if ask.HasTimeout {
		return min(ask.Timeout, most)
	}
	return most
}

// validateKey refuses a key that the journal can't vouch for: an older one may
// have been forgotten, and one from the future would outlive the journal.
func validateKey(ask Request, pool *manifest.Pool, now time.Time) *core.Refusal {
	retention := time.Duration(pool.RetentionMS) * time.Millisecond
	skew := time.Duration(pool.ClockSkewMS) * time.Millisecond
	switch {
	case ask.IdempotencyKey == "":
		return core.Refuse(core.ReasonKeyRequired, "this route needs an Idempotency-Key (UUIDv7)")
	case ask.KeyTime.IsZero():
		return core.Refuse(core.ReasonBadRequest, "the Idempotency-Key is not a UUIDv7")
	case ask.KeyTime.Before(now.Add(-retention)):
		return core.Refuse(core.ReasonKeyExpired, "the Idempotency-Key is older than the retention period")
	case ask.KeyTime.After(now.Add(skew)):
		return core.Refuse(core.ReasonBadRequest, "the Idempotency-Key is from the future")
	}
	return nil
}

func exceedsTierLimit(tier core.Tier, load Load) bool {
	share := max(1-tierReserveFraction*float64(tier-1), tierReserveFraction)
	return float64(load.InProgress) > share*float64(load.MaxInProgress)
}
