package quota

import "time"

const (
	// grantGrowthPeriod is how long a grant keeps growing without a new one.
	// After that time the host's own ledger has taken over.
	grantGrowthPeriod = time.Second
	// maxRequiredBurst is the largest share of the burst that must be left for
	// a request to be admitted. A larger request overdraws the limit by the
	// rest; otherwise it would be refused forever.
	maxRequiredBurst = 0.5
	// minRetryAfter and maxRetryAfter bound the delay after which a refused
	// caller is told to retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Allocation is the part of each account's limit that one host may admit.
type Allocation struct {
	accounts map[string]*allowance
}

type allowance struct {
	grant     Grant
	grantedAt time.Time
	// admitted and requested are the units admitted and requested since the
	// report that the grant answered. The reported ones are the part of them
	// that is in a report not yet answered.
	admitted, requested                 float64
	reportedAdmitted, reportedRequested float64
	hasGrant                            bool
}

// NewAllocation returns an allocation without grants.
func NewAllocation() *Allocation { return &Allocation{accounts: map[string]*allowance{}} }

// Decision is the outcome of a request for units.
type Decision int

// Values of Decision.
const (
	// Admitted admits the request.
	Admitted Decision = iota
	// AskCoordinator leaves the decision to the keeper of the ledger: this host's
	// part is too small, but what all hosts have left may be enough.
	AskCoordinator
	// OverLimit refuses the request.
	OverLimit
)

// Admit decides whether a request of the given units is admitted, and after what
// time a refused one may be retried.
func (alloc *Allocation) Admit(account string, limit Limit, units float64, now time.Time) (decision Decision, retry time.Duration) {
	a := alloc.accounts[account]
	if a == nil {
		a = &allowance{}
		alloc.accounts[account] = a
	}
	a.requested += units
	available, required := a.available(now), limit.required(units)
	switch level := a.globalLevel(limit, now); {
	case !a.hasGrant || available >= units:
		a.admitted += units
		return Admitted, 0
	case level < required:
		return OverLimit, retryAfter(required-level, limit)
	}
	return AskCoordinator, 0
}

// required returns how many units must be left to admit a request of the given
// units.
func (l Limit) required(units float64) float64 { return min(units, maxRequiredBurst*l.Burst) }

func retryAfter(missing float64, limit Limit) time.Duration {
	wait := time.Duration(missing / max(1, limit.Rate) * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// globalLevel returns an upper bound of what all hosts have left.
func (a *allowance) globalLevel(limit Limit, now time.Time) float64 {
	return min(limit.Burst, a.grant.Level+limit.Rate*now.Sub(a.grantedAt).Seconds())
}

// available returns how many units may be admitted now.
func (a *allowance) available(now time.Time) float64 {
	grown := a.grant.Inflow * min(now.Sub(a.grantedAt), grantGrowthPeriod).Seconds()
	return a.grant.Units + grown - a.admitted
}

// Report returns the usage since the last report that was answered.
func (alloc *Allocation) Report() map[string]Usage {
	usages := make(map[string]Usage, len(alloc.accounts))
	for name, a := range alloc.accounts {
		a.reportedAdmitted, a.reportedRequested = a.admitted, a.requested
		usages[name] = Usage{Admitted: a.admitted, Requested: a.requested, Level: a.grant.Level, LevelKnown: a.hasGrant}
	}
	return usages
}

// ApplyGrants applies the answer to the last report.
func (alloc *Allocation) ApplyGrants(grants map[string]Grant, now time.Time) {
	for name, grant := range grants {
		a := alloc.accounts[name]
		if a == nil {
			a = &allowance{}
			alloc.accounts[name] = a
		}
		a.grant, a.grantedAt, a.hasGrant = grant, now, true
		a.admitted -= a.reportedAdmitted
		a.requested -= a.reportedRequested
		a.reportedAdmitted, a.reportedRequested = 0, 0
	}
}
