package placement

import "time"

const (
	// prefillWeight is the weight of a second of prefill relative to a second
	// of time to finish. Prefill slows down every request that the engine runs.
	prefillWeight = 1.0
	// crossZonePenalty is the cost of an endpoint in another availability zone,
	// in seconds. It only decides between endpoints that are otherwise equal.
	crossZonePenalty = 0.002
	// preferenceWeight is larger than any difference in time, in seconds.
	preferenceWeight = 1e6
)

// ExpectedFinish scores by the expected time to finish, plus the slowdown that
// the prefill causes to other requests and the penalty for another availability
// zone, in seconds.
type ExpectedFinish struct{}

// Name implements Scorer.
func (ExpectedFinish) Name() string { return "expected_finish" }

// Score implements Scorer.
func (ExpectedFinish) Score(c *Candidate, _ *Query) float64 {
	score := c.TimeToFinish().Seconds() + prefillWeight*c.Prefill.Seconds()*float64(c.Running)/float64(max(1, c.Endpoint.Slots))
	return score + zonePenalty(c) + preferencePenalty(c)
}

func preferencePenalty(c *Candidate) float64 {
	switch c.Preference {
	case Preferred:
		return -preferenceWeight
	case Avoided:
		return preferenceWeight
	}
	return 0
}

// FirstToken scores by the expected time to the first token, plus the slowdown
// that the prefill causes to other requests and the time by which a long
// response would exceed the deadline, in seconds.
type FirstToken struct{}

// Name implements Scorer.
func (FirstToken) Name() string { return "first_token" }

// Score implements Scorer.
func (FirstToken) Score(c *Candidate, q *Query) float64 {
	slowdown := prefillWeight * c.Prefill.Seconds() * float64(c.Running) / float64(max(1, c.Endpoint.Slots))
	overrun := max(0, c.PendingPrefill+c.MaxRunTime-q.TimeLeft())
	return c.PendingPrefill.Seconds() + c.FirstToken.Seconds() + slowdown + zonePenalty(c) + overrun.Seconds() + preferencePenalty(c)
}

// LeastBusy scores plain services by the number of requests per slot, this one
// included, multiplied by the time of one request, in seconds.
type LeastBusy struct{}

// Name implements Scorer.
func (LeastBusy) Name() string { return "least_busy" }

// Score implements Scorer.
func (LeastBusy) Score(c *Candidate, _ *Query) float64 {
	return c.RunTime.Seconds()*float64(c.Running+1)/float64(max(1, c.Endpoint.Slots)) + zonePenalty(c) + preferencePenalty(c)
}

func zonePenalty(c *Candidate) float64 {
	if c.SameZone {
		return 0
	}
	return crossZonePenalty
}

// LeastOutstanding scores by outstanding tokens, and by running requests where
// those are equal.
type LeastOutstanding struct{}

// Name implements Scorer.
func (LeastOutstanding) Name() string { return "least_outstanding" }

// Score implements Scorer.
func (LeastOutstanding) Score(c *Candidate, _ *Query) float64 {
	return float64(c.OutstandingTokens) + float64(c.Running+c.Untracked)
}

// CachedPrefix scores by the length of the cached prefix, longest first, and by
// running requests where those are equal.
type CachedPrefix struct{}

// Name implements Scorer.
func (CachedPrefix) Name() string { return "prefix_affinity" }

// Score implements Scorer.
func (CachedPrefix) Score(c *Candidate, _ *Query) float64 {
	return float64(c.Running+c.Untracked) - float64(c.CachedTokens)*1000
}

// Constant gives every candidate the same score.
type Constant struct{}

// Name implements Scorer.
func (Constant) Name() string { return "constant" }

// Score implements Scorer.
func (Constant) Score(*Candidate, *Query) float64 { return 0 }

// ShortestRunTime returns the lowest MinRunTime of the eligible candidates; false
// if there is none. See Eligible.
func ShortestRunTime(candidates []Candidate, query *Query) (best time.Duration, ok bool) {
	for i := range candidates {
		if !Eligible(&candidates[i], query) {
			continue
		}
		if !ok || candidates[i].MinRunTime < best {
			best, ok = candidates[i].MinRunTime, true
		}
	}
	return best, ok
}

// Eligible reports whether the request may ever be placed on the candidate,
// even if it is busy now.
func Eligible(c *Candidate, query *Query) bool {
	return NotDraining{}.Pass(c, query) && Ready{}.Pass(c, query) &&
		GoodVersion{}.Pass(c, query) && VersionInForce{}.Pass(c, query) && NotExcluded{}.Pass(c, query)
}
