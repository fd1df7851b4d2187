package placement

import "time"

const (
	// prefillWeight is how much a second of prefill counts beside a second
	// until the finish: prefill slows every request that the engine runs.
	prefillWeight = 1.0
	// crossZonePenalty is what an endpoint in another availability zone costs, in
	// seconds. It decides between endpoints that are otherwise alike.
	crossZonePenalty = 0.002
	// preferenceWeight, in seconds, is above any difference in time.
	preferenceWeight = 1e6
)

// ExpectedFinish scores by the expected finish of the request, the prefill
// that it costs its neighbours, and nearness, in seconds.
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

// FirstToken scores by the expected time to the first token, the time that the
// prompt takes from those that run beside it, and the time by which a long
// answer would overrun the deadline, in seconds.
type FirstToken struct{}

// Name implements Scorer.
func (FirstToken) Name() string { return "first_token" }

// Score implements Scorer.
func (FirstToken) Score(c *Candidate, n *Query) float64 {
	beside := prefillWeight * c.Prefill.Seconds() * float64(c.Running) / float64(max(1, c.Endpoint.Slots))
	overrun := max(0, c.PendingPrefill+c.MaxRunTime-n.TimeLeft())
	return c.PendingPrefill.Seconds() + c.Prefill.Seconds() + beside + zonePenalty(c) + overrun.Seconds() + preferencePenalty(c)
}

// LeastBusy scores plain services by the requests that run, in the time that
// one takes, in seconds.
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

// LeastOutstanding scores by outstanding tokens, and by running attempts
// where those are equal.
type LeastOutstanding struct{}

// Name implements Scorer.
func (LeastOutstanding) Name() string { return "least_outstanding" }

// Score implements Scorer.
func (LeastOutstanding) Score(c *Candidate, _ *Query) float64 {
	return float64(c.OutstandingTokens) + float64(c.Running+c.Untracked)
}

// CachedPrefix scores by the cached prefix alone, the longest first, and by
// running attempts where those are equal.
type CachedPrefix struct{}

// Name implements Scorer.
func (CachedPrefix) Name() string { return "prefix_affinity" }

// Score implements Scorer.
func (CachedPrefix) Score(c *Candidate, _ *Query) float64 {
	return float64(c.Running+c.Untracked) - float64(c.CachedTokens)*1000
}

// Constant scores every candidate alike.
type Constant struct{}

// Name implements Scorer.
func (Constant) Name() string { return "constant" }

// Score implements Scorer.
func (Constant) Score(*Candidate, *Query) float64 { return 0 }

// ShortestRunTime returns the shortest LeastTime among the candidates that the
// request may ever be placed on, busy or not; false if there is none.
func ShortestRunTime(candidates []Candidate, need *Query) (best time.Duration, ok bool) {
	for i := range candidates {
		if !Eligible(&candidates[i], need) {
			continue
		}
		if !ok || candidates[i].MinRunTime < best {
			best, ok = candidates[i].MinRunTime, true
		}
	}
	return best, ok
}

// Eligible tells whether the request may ever be placed on the candidate, busy
// or not.
func Eligible(c *Candidate, need *Query) bool {
	return NotLeaving{}.Pass(c, need) && Ready{}.Pass(c, need) &&
		GoodVersion{}.Pass(c, need) && VersionInForce{}.Pass(c, need) && NotExcluded{}.Pass(c, need)
}
