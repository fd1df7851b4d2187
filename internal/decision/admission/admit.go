package admission

import (
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/ownership"
	"kingcupcourse/internal/decision/poison"
	"kingcupcourse/internal/manifest"
)

const (
	// PoisonRetryAfter is the retry delay sent with the refusal of a
	// fingerprint that crashes endpoints.
	PoisonRetryAfter = 10 * time.Minute
	// tierReserveFraction is the fraction of MaxInProgress that a tier leaves
	// free for each more important tier.
	tierReserveFraction = 0.1
)

// Request describes a client request and what is known about its body.
type Request struct {
	Account             *manifest.ClientAccount
	Method, Path, Model string
	// Tier is the requested tier; zero selects the route's tier.
	Tier core.Tier
	// Timeout is the time left until the deadline that the caller requested,
	// valid only if HasTimeout is set.
	Timeout    time.Duration
	HasTimeout bool
	// IdempotencyKey is empty if the caller sent none. KeyTime is the
	// timestamp in the key, zero if the key is not a UUIDv7.
	IdempotencyKey string
	KeyTime        time.Time
	BodyBytes      int64
	// PoisonMarks is the number of endpoints that crashed while they ran a
	// request with this fingerprint.
	PoisonMarks int
}

// Load is the number of requests in progress on the entry host and its limit.
type Load struct {
	InProgress, MaxInProgress int
}

// Decision holds the parameters under which a request is admitted.
type Decision struct {
	Account core.ClientAccount
	Route   string
	Pool    string
	Kind    core.Kind
	Tier    core.Tier
	RunOnce bool
	// IdempotencyKey is empty unless RunOnce is set.
	IdempotencyKey string
	Deadline       time.Time
	OutputTokens   int
	// ProgressTimeout is the longest time without data on a connection to an
	// endpoint.
	ProgressTimeout time.Duration
	// KeyRetention is how long the pool's journal keeps an idempotency key.
	KeyRetention time.Duration
	// Shard is the pool shard whose scheduler grants the dispatch.
	Shard ownership.Shard
}

// Admit admits or refuses one request. Region is the region of the entry
// host.
func (p *Policy) Admit(req Request, load Load, region core.Region, now time.Time) (Decision, *core.Refusal) {
	route, pool := p.resolveRoute(req)
	if pool == nil {
		return Decision{}, core.Refuse(core.ReasonUnknownRoute, "no route takes this method, path and model")
	}
	decision := Decision{
		Account: coreAccount(req.Account), Route: route.Name, Pool: pool.Name, Kind: pool.Kind,
		Tier: p.effectiveTier(req, route), RunOnce: route.RunOnce, OutputTokens: route.OutputTokens,
		ProgressTimeout: time.Duration(pool.ProgressTimeoutMS) * time.Millisecond,
		KeyRetention:    time.Duration(pool.RetentionMS) * time.Millisecond,
		Shard:           ownership.Shard{Pool: pool.Name, Region: region},
	}
	if req.BodyBytes > route.MaxBodyBytes {
		return Decision{}, core.Refuse(core.ReasonTooLarge, "the request body is larger than the route allows")
	}
	if route.RunOnce {
		if refusal := validateKey(req, pool, now); refusal != nil {
			return Decision{}, refusal
		}
		decision.IdempotencyKey = req.IdempotencyKey
		decision.Shard.Region = req.Account.HomeRegion
	}
	if req.HasTimeout && req.Timeout <= 0 {
		return Decision{}, core.Refuse(core.ReasonDeadlinePassed, "the deadline has passed")
	}
	decision.Deadline = now.Add(requestTimeout(req, route))
	if req.PoisonMarks >= poison.DeathLimit {
		return Decision{}, core.RefuseWithRetry(core.ReasonPoison,
			"endpoints died under this request", PoisonRetryAfter)
	}
	if exceedsTierLimit(decision.Tier, load) {
		return Decision{}, core.RefuseWithRetry(core.ReasonQueueFull, "the entry host is full", time.Second)
	}
	return decision, nil
}

// resolveRoute returns the route of a request and its pool, or nil if no
// route matches.
func (p *Policy) resolveRoute(req Request) (*manifest.Route, *manifest.Pool) {
	route, ok := p.MatchRoute(req.Method, req.Path, req.Model)
	if !ok {
		return nil, nil
	}
	pool, _ := p.Pool(route.Pool)
	return route, pool
}

func coreAccount(a *manifest.ClientAccount) core.ClientAccount {
	return core.ClientAccount{Name: a.Name, MaxTier: a.MaxTier, Weight: a.Weight, HomeRegion: a.HomeRegion}
}

// effectiveTier returns the least important of the route's tier, the most
// important tier allowed to the account, and the requested tier.
func (p *Policy) effectiveTier(req Request, route *manifest.Route) core.Tier {
	return min(max(route.Tier, req.Account.MaxTier, req.Tier), core.Tier(p.Tiers))
}

func requestTimeout(req Request, route *manifest.Route) time.Duration {
	limit := time.Duration(route.DeadlineMS) * time.Millisecond
	if req.HasTimeout {
		return min(req.Timeout, limit)
	}
	return limit
}

// validateKey refuses a key for which the journal can't detect duplicates: a
// key older than the retention period may already have been pruned, and a key
// from the future would stay valid after its records are pruned.
func validateKey(req Request, pool *manifest.Pool, now time.Time) *core.Refusal {
	retention := time.Duration(pool.RetentionMS) * time.Millisecond
	skew := time.Duration(pool.ClockSkewMS) * time.Millisecond
	switch {
	case req.IdempotencyKey == "":
		return core.Refuse(core.ReasonKeyRequired, "this route needs an Idempotency-Key (UUIDv7)")
	case req.KeyTime.IsZero():
		return core.Refuse(core.ReasonBadRequest, "the Idempotency-Key is not a UUIDv7")
	case req.KeyTime.Before(now.Add(-retention)):
		return core.Refuse(core.ReasonKeyExpired, "the Idempotency-Key is older than the retention period")
	case req.KeyTime.After(now.Add(skew)):
		return core.Refuse(core.ReasonBadRequest, "the Idempotency-Key is from the future")
	}
	return nil
}

func exceedsTierLimit(tier core.Tier, load Load) bool {
	fraction := max(1-tierReserveFraction*float64(tier-1), tierReserveFraction)
	return float64(load.InProgress) > fraction*float64(load.MaxInProgress)
}
