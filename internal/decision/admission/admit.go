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
	// tierReserve is the share of the in-progress bound that each tier
	// leaves to the more important ones.
	tierReserve = 0.1
)

// Ask is what a caller wants and what is known of its body.
type Ask struct {
	Account             *manifest.ClientAccount
	Method, Path, Model string
	// Tier is the tier asked for, zero for the route's.
	Tier core.Tier
	// Deadline is the time to the deadline that the caller asked for.
	// HasDeadline tells whether it asked for one.
	Deadline    time.Duration
	HasDeadline bool
	// Key is the idempotency key, empty if the caller sent none. KeyTime is
	// the time within it, zero if it is not a UUIDv7.
	Key     string
	KeyTime time.Time
	// BodyBytes is the size of the request body.
	BodyBytes int64
	// PoisonMarks counts the endpoints that died under the fingerprint.
	PoisonMarks int
}

// Load is how full the entry host is.
type Load struct {
	InProgress, Max int
}

// Terms are the terms under which a request is let in.
type Terms struct {
	Account core.ClientAccount
	Route   string
	Pool    string
	Kind    core.Kind
	Tier    core.Tier
	RunOnce bool
	// Key is the idempotency key of a run-once request, else empty.
	Key          string
	Deadline     time.Time
	OutputTokens int
	// ProgressTimeout is how long a connection to an endpoint may be silent.
	ProgressTimeout time.Duration
	// Retention is how long the pool remembers an idempotency key.
	Retention time.Duration
	// Shard is where permission to dispatch is asked for.
	Shard ownership.Shard
}

// Admit decides about one request. Region is where the entry host is.
func (p *Policy) Admit(ask Ask, load Load, region core.Region, now time.Time) (Terms, *core.Refusal) {
	route, pool := p.find(ask)
	if pool == nil {
		return Terms{}, core.Refuse(core.ReasonUnknownRoute, "no route takes this method, path and model")
	}
	terms := Terms{
		Account: account(ask.Account), Route: route.Name, Pool: pool.Name, Kind: pool.Kind,
		Tier: p.tier(ask, route), RunOnce: route.RunOnce, OutputTokens: route.OutputTokens,
		ProgressTimeout: time.Duration(pool.ProgressTimeoutMS) * time.Millisecond,
		Retention:       time.Duration(pool.RetentionMS) * time.Millisecond,
		Shard:           ownership.Shard{Pool: pool.Name, Region: region},
	}
	if ask.BodyBytes > route.MaxBodyBytes {
		return Terms{}, core.Refuse(core.ReasonTooLarge, "the request body is larger than the route allows")
	}
	if route.RunOnce {
		if refusal := checkKey(ask, pool, now); refusal != nil {
			return Terms{}, refusal
		}
		terms.Key = ask.Key
		terms.Shard.Region = ask.Account.HomeRegion
	}
	if ask.HasDeadline && ask.Deadline <= 0 {
		return Terms{}, core.Refuse(core.ReasonDeadlinePassed, "the deadline has passed")
	}
	terms.Deadline = now.Add(deadline(ask, route))
	if ask.PoisonMarks >= poison.DeathLimit {
		return Terms{}, core.RefuseWithRetry(core.ReasonPoison,
			"endpoints died under this request", PoisonRetryAfter)
	}
	if tierFull(terms.Tier, load) {
		return Terms{}, core.RefuseWithRetry(core.ReasonQueueFull, "the entry host is full", time.Second)
	}
	return terms, nil
}

// find returns the route of a request and its pool, nil if there is none.
func (p *Policy) find(ask Ask) (*manifest.Route, *manifest.Pool) {
	route, ok := p.Match(ask.Method, ask.Path, ask.Model)
	if !ok {
		return nil, nil
	}
	pool, _ := p.Pool(route.Pool)
	return route, pool
}

func account(a *manifest.ClientAccount) core.ClientAccount {
	return core.ClientAccount{Name: a.Name, MaxTier: a.MaxTier, Weight: a.Weight, HomeRegion: a.HomeRegion}
}

// tier returns the least important of the route's tier, the account's most
// important tier and the tier asked for.
func (p *Policy) tier(ask Ask, route *manifest.Route) core.Tier {
	return min(max(route.Tier, ask.Account.MaxTier, ask.Tier), core.Tier(p.Tiers))
}

func deadline(ask Ask, route *manifest.Route) time.Duration {
	most := time.Duration(route.DeadlineMS) * time.Millisecond
	if ask.HasDeadline {
		return min(ask.Deadline, most)
	}
	return most
}

// checkKey refuses a key that the journal can't vouch for: an older one may
// have been forgotten, and one from the future would outlive the journal.
func checkKey(ask Ask, pool *manifest.Pool, now time.Time) *core.Refusal {
	retention := time.Duration(pool.RetentionMS) * time.Millisecond
	skew := time.Duration(pool.ClockSkewMS) * time.Millisecond
	switch {
	case ask.Key == "":
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

func tierFull(tier core.Tier, load Load) bool {
	share := max(1-tierReserve*float64(tier-1), tierReserve)
	return float64(load.InProgress) > share*float64(load.Max)
}
