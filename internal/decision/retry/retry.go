// Package retry decides whether a request may be tried again. A budget keeps
// retries a small share of all requests, so that a failing pool is not
// loaded further by the retries of its own failures.
package retry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcupcourse/internal/core"
)

const (
	// Share is how many retries each request earns.
	Share = 0.03
	// Burst is how many retries may be saved up.
	Burst = 10.0
	// MaxAttempts bounds the dispatches of one request.
	MaxAttempts = 4
	// MinRemaining is the least time to the deadline that makes a retry
	// worth its cost.
	MinRemaining = 50 * time.Millisecond
	// deathSpread is the time over which the requests of an endpoint that
	// died are placed again.
	deathSpread = 400 * time.Millisecond
)

// Budget is a token bucket that is filled by requests and not by time.
type Budget struct {
	tokens       float64
	share, burst float64
}

// NewBudget returns a full budget with the usual share and burst.
func NewBudget() *Budget { return NewBudgetOf(Share, Burst) }

// NewBudgetOf returns a full budget in which each request earns a share of a
// retry, and burst retries may be saved up.
func NewBudgetOf(share, burst float64) *Budget {
	return &Budget{tokens: burst, share: share, burst: burst}
}

// SetBurst changes how many retries may be saved up.
func (b *Budget) SetBurst(burst float64) {
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

// Grow raises how many retries may be saved up and grants the difference at
// once. It is for a budget that began with less than its part.
func (b *Budget) Grow(burst float64) {
	b.tokens += max(0, burst-b.burst)
	b.SetBurst(burst)
}

// Earn counts one request.
func (b *Budget) Earn() { b.tokens = min(b.tokens+b.share, b.burst) }

// Spend takes one retry from the budget and tells whether there was one.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Attempt describes how an attempt ended.
type Attempt struct {
	RunOnce bool
	Result  core.Result
	// Poison tells that so many endpoints died under the request that it is
	// taken for the cause.
	Poison bool
	// Passed tells that a byte of the answer has reached the caller.
	Passed bool
	// Dispatches is how many dispatches the request has had.
	Dispatches int
	Now        time.Time
	Deadline   time.Time
}

// Verdict tells what may follow an attempt.
type Verdict int

const (
	// Stop means that the attempt's end is the request's end.
	Stop Verdict = iota
	// Free means that the request provably did not run and may be placed
	// again without touching the budget.
	Free
	// Budgeted means that it may be placed again if the budget allows.
	Budgeted
)

// PauseAfterDeath returns how long a request waits before it is placed again
// after its endpoint died. One of the endpoint's requests may be the cause
// and kill the next endpoint as well; the others, which wait for other times,
// are then seldom on that one too.
func PauseAfterDeath(fingerprint string) time.Duration {
	return time.Duration(xxhash.Sum64String(fingerprint) % uint64(deathSpread))
}

// Judge tells whether the request may be placed on another endpoint.
func Judge(a Attempt) Verdict {
	if a.Poison || a.Passed || a.Deadline.Sub(a.Now) < MinRemaining || a.Dispatches >= MaxAttempts {
		return Stop
	}
	switch a.Result {
	case core.ResultNotDispatched, core.ResultRejected:
		return Free
	case core.ResultFailed, core.ResultLost:
		if !a.RunOnce {
			return Budgeted
		}
	}
	return Stop
}
