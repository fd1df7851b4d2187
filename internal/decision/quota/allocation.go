package quota

import "time"

const (
	// grantGrowthPeriod is how long a grant keeps growing without a new one.
	// After that time the host's own ledger has taken over.
	grantGrowthPeriod = time.Second
	// plentifulShare is the share of the burst that must be left of a limit for
	// a host to admit requests without the coordinator.
	plentifulShare = 0.5
	// maxRequiredBurst is the largest share of the burst that must be left for a
	// request to be admitted. Larger requests would otherwise never be.
	maxRequiredBurst = 0.5
	// sizeWeight is the weight of a request in the average size of requests.
	sizeWeight = 0.1
	// minRetryAfter and maxRetryAfter bound the delay after which a refused
	// caller is told to retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Allocation is the part of each account's limit that one host may admit.
//
// Whether a request is admitted does not depend on its size: a part may be
// smaller than one large request, which would otherwise never pass while small
// ones use up the limit. So a host admits what fits into its part only while
// plenty is left of the limit, when the coordinator would admit the others too.
// Near the limit, and without a grant, the coordinator decides about all requests.
type Allocation struct {
	accounts map[string]*allowance
}

type allowance struct {
	grant     Grant
	grantedAt time.Time
	// admitted and requested are the units admitted and requested since the
	// report for which the grant was given. The reported ones are the part of
	// them that is in a report for which no grant has arrived yet.
	admitted, requested                 float64
	reportedAdmitted, reportedRequested float64
	hasGrant                            bool
	// size is that of the account's requests.
	size averageSize
}

// NewAllocation returns an allocation without grants.
func NewAllocation() *Allocation { return &Allocation{accounts: map[string]*allowance{}} }

// Decision is the outcome of a request for units.
type Decision int

// Values of Decision.
const (
	// Admitted admits the request.
	Admitted Decision = iota
	// AskCoordinator leaves the decision to the coordinator, which keeps the
	// ledger: this host's part is too small, or the limit is nearly reached, but
	// what all hosts have left may be enough.
	AskCoordinator
	// OverLimit refuses the request.
	OverLimit
)

// Admit decides whether a request of the given units is admitted, and after what
// time a refused one may be retried.
func (alloc *Allocation) Admit(account string, limit Limit, units float64, now time.Time) (decision Decision, retry time.Duration) {
	a := alloc.allowance(account)
	a.requested += units
	a.size.add(units)
	switch level, required := a.globalLevel(limit, now), a.size.required(limit); {
	case a.hasGrant && a.plentiful(limit) && a.available(now) >= units:
		a.admitted += units
		return Admitted, 0
	case a.hasGrant && level < required:
		return OverLimit, retryAfter(required-level, limit)
	}
	return AskCoordinator, 0
}

// AdmitAlone decides about a request for which the coordinator was asked but has
// not answered. It is admitted if, by the last grant, plenty is left of the limit,
// or if the host's part has room for an average request.
func (alloc *Allocation) AdmitAlone(account string, limit Limit, units float64, now time.Time) bool {
	a := alloc.allowance(account)
	if !a.plentiful(limit) && a.available(now) < a.size.required(limit) {
		return false
	}
	a.admitted += units
	return true
}

// Refund gives back the units of an admitted request that was not run.
func (alloc *Allocation) Refund(account string, units float64) {
	alloc.allowance(account).admitted -= units
}

// plentiful reports whether plenty was left of the limit at the last grant.
func (a *allowance) plentiful(limit Limit) bool {
	return a.grant.Level-a.admitted >= plentifulShare*limit.Burst
}

func (alloc *Allocation) allowance(account string) *allowance {
	a := alloc.accounts[account]
	if a == nil {
		a = &allowance{}
		alloc.accounts[account] = a
	}
	return a
}

// averageSize is the average size of requests, in units.
type averageSize float64

func (s *averageSize) add(units float64) {
	if *s == 0 {
		*s = averageSize(units)
	}
	*s += sizeWeight * (averageSize(units) - *s)
}

// required returns how many units must be left of a limit to admit a request,
// whatever its size.
func (s *averageSize) required(limit Limit) float64 {
	return min(float64(*s), maxRequiredBurst*limit.Burst)
}

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

// Report returns the usage since the last report for which grants have arrived,
// of the accounts that are included.
func (alloc *Allocation) Report(included func(account string) bool) map[string]Usage {
	usages := make(map[string]Usage, len(alloc.accounts))
	for name, a := range alloc.accounts {
		if !included(name) {
			continue
		}
		a.reportedAdmitted, a.reportedRequested = a.admitted, a.requested
		usages[name] = Usage{Admitted: a.admitted, Requested: a.requested, Level: a.grant.Level, LevelKnown: a.hasGrant}
	}
	return usages
}

// ApplyGrants applies the grants that were given for the last report.
func (alloc *Allocation) ApplyGrants(grants map[string]Grant, now time.Time) {
	for name, grant := range grants {
		a := alloc.allowance(name)
		a.grant, a.grantedAt, a.hasGrant = grant, now, true
		a.admitted -= a.reportedAdmitted
		a.requested -= a.reportedRequested
		a.reportedAdmitted, a.reportedRequested = 0, 0
	}
}
