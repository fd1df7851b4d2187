package quota

import "time"

const (
	// maxGrantGrowth is how long a grant goes on growing without a new one. The
	// host's own ledger has taken over by then.
	maxGrantGrowth = time.Second
	// maxRequiredBurst is the share of the burst that must be left for a request at
	// the most. A larger request overdraws the limit by the rest, so that it
	// is not refused for ever.
	maxRequiredBurst = 0.5
	// minRetryAfter and mostRetry bound when a refused caller is asked back.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Allocation is what one host may let in of each account's limit.
type Allocation struct {
	accounts map[string]*allowance
}

type allowance struct {
	grant     Grant
	grantedAt time.Time
	// admitted is what was let in, requested what was requested for, since the grant's
	// report; sent is the part of them that is in a report on its way.
	admitted, requested                 float64
	reportedAdmitted, reportedRequested float64
	hasGrant                            bool
}

// NewAllocation returns a share without any grant.
func NewAllocation() *Allocation { return &Allocation{accounts: map[string]*allowance{}} }

// Decision tells what becomes of a request.
type Decision int

// The verdicts.
const (
	// Admitted lets the request in.
	Admitted Decision = iota
	// AskLedger leaves it to the keeper of the ledger: this host's part does not
	// suffice, but what all hosts have left may.
	AskLedger
	// OverLimit refuses it.
	OverLimit
)

// Admit decides about a request of so many units, and tells when a refused one
// may come back.
func (s *Allocation) Admit(account string, limit Limit, units float64, now time.Time) (verdict Decision, retry time.Duration) {
	a := s.accounts[account]
	if a == nil {
		a = &allowance{}
		s.accounts[account] = a
	}
	a.requested += units
	left, need := a.available(now), limit.required(units)
	switch level := a.globalLevel(limit, now); {
	case !a.hasGrant || left >= units:
		a.admitted += units
		return Admitted, 0
	case level < need:
		return OverLimit, retryAfter(need-level, limit)
	}
	return AskLedger, 0
}

// required is what must be left for a request of so many units.
func (l Limit) required(units float64) float64 { return min(units, maxRequiredBurst*l.Burst) }

func retryAfter(missing float64, limit Limit) time.Duration {
	wait := time.Duration(missing / max(1, limit.Rate) * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// globalLevel is what all hosts have left at the most.
func (a *allowance) globalLevel(limit Limit, now time.Time) float64 {
	return min(limit.Burst, a.grant.Level+limit.Rate*now.Sub(a.grantedAt).Seconds())
}

// available is what may be let in now.
func (a *allowance) available(now time.Time) float64 {
	grown := a.grant.Inflow * min(now.Sub(a.grantedAt), maxGrantGrowth).Seconds()
	return a.grant.Units + grown - a.admitted
}

// Report returns what was used since the last report that was answered.
func (s *Allocation) Report() map[string]Usage {
	uses := make(map[string]Usage, len(s.accounts))
	for name, a := range s.accounts {
		a.reportedAdmitted, a.reportedRequested = a.admitted, a.requested
		uses[name] = Usage{Admitted: a.admitted, Requested: a.requested, Level: a.grant.Level, LevelKnown: a.hasGrant}
	}
	return uses
}

// ApplyGrants takes over the answer to the last report.
func (s *Allocation) ApplyGrants(grants map[string]Grant, now time.Time) {
	for name, grant := range grants {
		a := s.accounts[name]
		if a == nil {
			a = &allowance{}
			s.accounts[name] = a
		}
		a.grant, a.grantedAt, a.hasGrant = grant, now, true
		a.admitted -= a.reportedAdmitted
		a.requested -= a.reportedRequested
		a.reportedAdmitted, a.reportedRequested = 0, 0
	}
}
