// Package retry decides whether a request may be tried again. A budget limits
// retries to a small share of all requests, so that a failing pool is not loaded
// further by retries.
package retry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcupcourse/internal/core"
)

const (
	// Ratio is how many retries each request adds to the budget.
	Ratio = 0.03
	// Burst is how many retries may accumulate.
	Burst = 10.0
	// MaxAttempts limits the dispatches of one request.
	MaxAttempts = 4
	// MinRemaining is the shortest time to the deadline for which a retry is
	// worth its cost.
	MinRemaining = 50 * time.Millisecond
	// maxPauseAfterDeath is the time over which the requests of an endpoint
	// that died are spread when they are placed again.
	maxPauseAfterDeath = 400 * time.Millisecond
)

// Budget is a token bucket that is filled by requests instead of time.
type Budget struct {
	tokens       float64
	ratio, burst float64
}

// NewBudget returns a full budget with the default ratio and burst.
func NewBudget() *Budget { return NewBudgetWith(Ratio, Burst) }

// NewBudgetWith returns a full budget to which each request adds a share of a
// retry, and in which burst retries may accumulate.
func NewBudgetWith(ratio, burst float64) *Budget {
	return &Budget{tokens: burst, ratio: ratio, burst: burst}
}

// SetBurst changes how many retries may accumulate.
func (b *Budget) SetBurst(burst float64) {
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

// RaiseBurst raises how many retries may accumulate and grants the difference at
// once. It is for a budget that was created with less than its part.
func (b *Budget) RaiseBurst(burst float64) {
	b.tokens += max(0, burst-b.burst)
	b.SetBurst(burst)
}

// Deposit adds the retry share of one request.
func (b *Budget) Deposit() { b.tokens = min(b.tokens+b.ratio, b.burst) }

// TryWithdraw takes one retry from the budget and reports whether there was one.
func (b *Budget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Attempt is an attempt that has ended, with the state of its request.
type Attempt struct {
	RunOnce bool
	Result  core.Result
	// Poisonous is set if so many endpoints died running the request that it
	// is assumed to be the cause.
	Poisonous bool
	// ResponseStarted is set once a byte of the answer has reached the caller.
	ResponseStarted bool
	// Dispatches is how many times the request has been dispatched.
	Dispatches int
	Now        time.Time
	Deadline   time.Time
}

// Decision is what may follow an attempt.
type Decision int

const (
	// Stop ends the request with the result of the attempt.
	Stop Decision = iota
	// Free means that the request provably did not run and may be placed
	// again without using the budget.
	Free
	// Budgeted means that the request may be placed again if the budget allows.
	Budgeted
)

// PauseAfterDeath returns how long a request waits before it is placed again
// after its endpoint died. One of the endpoint's requests may be the cause and
// kill the next endpoint as well. Since the pauses differ by request, the other
// requests are then rarely on that endpoint too.
func PauseAfterDeath(fingerprint string) time.Duration {
	return time.Duration(xxhash.Sum64String(fingerprint) % uint64(maxPauseAfterDeath))
}

// Decide reports whether the request may be placed on another endpoint.
func Decide(a Attempt) Decision {
	if a.Poisonous || a.ResponseStarted || a.Deadline.Sub(a.Now) < MinRemaining || a.Dispatches >= MaxAttempts {
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
