// Package overload decides whether a request to inference engines is taken or
// refused while the demand of several tiers exceeds what the engines serve.
//
// Engines admit requests in arrival order. So each place in their queues that a
// less important request takes delays the more important ones that come later,
// and all tiers lose alike. A tier may therefore only use engines whose queue is
// short for it: the most important tier waits longest, the least important one
// takes little more than free slots. The queues that remain keep the slots busy
// until the next request arrives.
package overload

import "time"

// defaultWaitShare is the share of its objective that a request of any tier may
// wait at an engine if the settings order no tiers. The rest is left for its own
// prefill and for prediction errors.
const defaultWaitShare = 0.6

// MinRetryAfter is the shortest retry delay for a refused request.
const MinRetryAfter = 200 * time.Millisecond

// Policy bounds the time that requests wait at an engine.
type Policy struct {
	// waitShares holds, by tier, the share of its objective that a request may be
	// predicted to wait. The last one holds for all further tiers.
	waitShares []float64
}

// NewPolicy returns the policy with the shares by tier, the most important first.
// Without shares all tiers wait alike.
func NewPolicy(waitShares []float64) Policy {
	if len(waitShares) == 0 {
		waitShares = []float64{defaultWaitShare}
	}
	return Policy{waitShares: waitShares}
}

// Request is what the decision needs to know of a request.
type Request struct {
	// Tier is 0 for the most important requests.
	Tier int
	// Objective is the time to the first token within which the response has its
	// full value, zero if there is none.
	Objective time.Duration
	// WaitPart is the part that is due to the request of the wait beyond that of the
	// next tier, from 0 to 1; zero counts as 1. So no request waits shorter than one
	// of a less important tier.
	WaitPart float64
}

// MaxWait returns how long the request may be predicted to wait at an engine. It
// returns false if there is no bound.
func (p Policy) MaxWait(r Request) (limit time.Duration, bounded bool) {
	if r.Objective <= 0 {
		return 0, false
	}
	tier := min(max(r.Tier, 0), len(p.waitShares)-1)
	share, nextTier := p.waitShares[tier], 0.0
	if tier+1 < len(p.waitShares) {
		nextTier = p.waitShares[tier+1]
	}
	if r.WaitPart > 0 {
		share = nextTier + r.WaitPart*(share-nextTier)
	}
	return time.Duration(share * float64(r.Objective)), true
}

// Refuses reports whether an engine with the predicted wait is too busy for the
// request.
func (p Policy) Refuses(r Request, wait time.Duration) bool {
	limit, bounded := p.MaxWait(r)
	return bounded && wait > limit
}

// RetryAfter returns the delay after which the request may be taken, if the engine
// with the predicted wait gets no other requests meanwhile.
func (p Policy) RetryAfter(r Request, wait time.Duration) time.Duration {
	limit, _ := p.MaxWait(r)
	return max(MinRetryAfter, wait-limit)
}
