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
	// Ratio is how many retries each request earns.
	Ratio = 0.03
	// Burst is how many retries may be saved up.
	Burst = 10.0
	// MaxAttempts bounds the dispatches of one request.
	MaxAttempts = 4
	// MinRemaining is the least time to the deadline that makes a retry
	// worth its cost.
	MinRemaining = 50 * time.Millisecond
	// maxPauseAfterDeath is the time over which the requests of an endpoint that
	// died are placed again.
	maxPauseAfterDeath = 400 * time.Millisecond
)

// Budget is a token bucket that is filled by requests and not by time.
type Budget struct {
	tokens       float64
	ratio, burst float64
}

// NewBudget returns a full budget with the usual share and burst.
func NewBudget() *Budget { return NewBudgetWith(Ratio, Burst) }

// NewBudgetWith returns a full budget in which each request earns a share of a
// retry, and burst retries may be saved up.
func NewBudgetWith(share, burst float64) *Budget {
	return &Budget{tokens: burst, ratio: share, burst: burst}
}

// SetBurst changes how many retries may be saved up.
func (b *Budget) SetBurst(burst float64) {
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

// RaiseBurst raises how many retries may be saved up and grants the difference at
// once. It is for a budget that began with less than its part.
func (b *Budget) RaiseBurst(burst float64) {
	b.tokens += max(0, burst-b.burst)
	b.SetBurst(burst)
}

// Deposit counts one request.
func (b *Budget) Deposit() { b.tokens = min(b.tokens+b.ratio, b.burst) }

// TryWithdraw takes one retry from the budget and tells whether there was one.
func (b *Budget) TryWithdraw() bool {
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
	// Poisonous tells that so many endpoints died under the request that it is
	// taken for the cause.
	Poisonous bool
	// AnswerStarted tells that a byte of the answer has reached the caller.
	AnswerStarted bool
	// Dispatches is how many dispatches the request has had.
	Dispatches int
	Now        time.Time
	Deadline   time.Time
}

// Decision tells what may follow an attempt.
type Decision int

const (
	// Stop means that the attempt's end is the request's end.
	Stop Decision = iota
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
	return time.Duration(xxhash.Sum64String(fingerprint) % uint64(maxPauseAfterDeath))
}

// Decide tells whether the request may be placed on another endpoint.
func Decide(a Attempt) Decision {
	if a.Poisonous || a.AnswerStarted || a.Deadline.Sub(a.Now) < MinRemaining || a.Dispatches >= MaxAttempts {
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
