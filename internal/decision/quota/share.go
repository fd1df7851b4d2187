package quota

import "time"

const (
	// staleGrant is how long a grant goes on growing without a new one. The
	// host's own ledger has taken over by then.
	staleGrant = time.Second
	// mostNeeded is the share of the burst that must be left for a request at
	// the most. A larger request overdraws the limit by the rest, so that it
	// is not refused for ever.
	mostNeeded = 0.5
	// leastRetry and mostRetry bound when a refused caller is asked back.
	leastRetry = 100 * time.Millisecond
	mostRetry  = 5 * time.Second
)

// Share is what one host may let in of each account's limit.
type Share struct {
	accounts map[string]*allowance
}

type allowance struct {
	grant   Grant
	granted time.Time
	// taken is what was let in, asked what was asked for, since the grant's
	// report; sent is the part of them that is in a report on its way.
	taken, asked         float64
	sentTaken, sentAsked float64
	known                bool
}

// NewShare returns a share without any grant.
func NewShare() *Share { return &Share{accounts: map[string]*allowance{}} }

// Verdict tells what becomes of a request.
type Verdict int

// The verdicts.
const (
	// Taken lets the request in.
	Taken Verdict = iota
	// Ask leaves it to the keeper of the ledger: this host's part does not
	// suffice, but what all hosts have left may.
	Ask
	// Above refuses it.
	Above
)

// Take decides about a request of so many units, and tells when a refused one
// may come back.
func (s *Share) Take(account string, limit Limit, units float64, now time.Time) (verdict Verdict, retry time.Duration) {
	a := s.accounts[account]
	if a == nil {
		a = &allowance{}
		s.accounts[account] = a
	}
	a.asked += units
	left, need := a.left(now), limit.need(units)
	switch level := a.level(limit, now); {
	case !a.known || left >= units:
		a.taken += units
		return Taken, 0
	case level < need:
		return Above, retryAfter(need-level, limit)
	}
	return Ask, 0
}

// need is what must be left for a request of so many units.
func (l Limit) need(units float64) float64 { return min(units, mostNeeded*l.Burst) }

func retryAfter(missing float64, limit Limit) time.Duration {
	wait := time.Duration(missing / max(1, limit.Rate) * float64(time.Second))
	return min(max(wait, leastRetry), mostRetry)
}

// level is what all hosts have left at the most.
func (a *allowance) level(limit Limit, now time.Time) float64 {
	return min(limit.Burst, a.grant.Level+limit.Rate*now.Sub(a.granted).Seconds())
}

// left is what may be let in now.
func (a *allowance) left(now time.Time) float64 {
	grown := a.grant.Inflow * min(now.Sub(a.granted), staleGrant).Seconds()
	return a.grant.Units + grown - a.taken
}

// Report returns what was used since the last report that was answered.
func (s *Share) Report() map[string]Use {
	uses := make(map[string]Use, len(s.accounts))
	for name, a := range s.accounts {
		a.sentTaken, a.sentAsked = a.taken, a.asked
		uses[name] = Use{Taken: a.taken, Asked: a.asked, Level: a.grant.Level, Known: a.known}
	}
	return uses
}

// Grant takes over the answer to the last report.
func (s *Share) Grant(grants map[string]Grant, now time.Time) {
	for name, grant := range grants {
		a := s.accounts[name]
		if a == nil {
			a = &allowance{}
			s.accounts[name] = a
		}
		a.grant, a.granted, a.known = grant, now, true
		a.taken -= a.sentTaken
		a.asked -= a.sentAsked
		a.sentTaken, a.sentAsked = 0, 0
	}
}
