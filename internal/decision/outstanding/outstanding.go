// Package outstanding tracks the attempts in progress on each endpoint. The
// counts are the owner's own: grants add to them, and outcomes and the loss of
// an entry host subtract. The load reports of an endpoint lag behind, so they
// only ever correct a count upwards.
package outstanding

import (
	"time"

	"kingcupcourse/internal/core"
)

const (
	// HostTimeout is how long an entry host may be silent before its attempts
	// are removed.
	HostTimeout = 3 * time.Second
	// ConfirmTimeout is how long a granted attempt may be missing from the
	// full reports of its entry host.
	ConfirmTimeout = 2 * time.Second
)

// Attempt is one granted attempt.
type Attempt struct {
	ID        string
	RequestID string
	Host      string
	Endpoint  string
	Version   core.Version
	Route     string
	Account   string
	// PrefillTokens is the number of prompt tokens without the cached prefix.
	PrefillTokens int
	// PrefillTokensAhead is the number of prompt tokens whose prefill was
	// pending on the endpoint when the attempt was placed, and
	// RunningAtPlacement the number of attempts that were running on it.
	PrefillTokensAhead, RunningAtPlacement int
	// ExpectedOutputTokens is the estimated number of output tokens,
	// OutputReceived the number that have arrived.
	ExpectedOutputTokens, OutputReceived int
	GrantedAt                            time.Time
	// FirstTokenAt is when the first token arrived, zero if that is not known.
	FirstTokenAt time.Time
	// ExpectedFirstToken and ExpectedFinish are the predicted times.
	ExpectedFirstToken, ExpectedFinish time.Time
	// Confirmed is set once a report of the entry host has listed the attempt.
	Confirmed bool
}

// remainingTokens returns the estimated tokens still to be processed.
func (a *Attempt) remainingTokens() int {
	left := max(0, a.ExpectedOutputTokens-a.OutputReceived)
	if a.OutputReceived == 0 {
		left += a.PrefillTokens
	}
	return max(1, left)
}

// Tracker tracks the attempts in progress of one pool shard.
type Tracker struct {
	attempts  map[string]*Attempt
	endpoints map[string]*endpoint
	hosts     map[string]time.Time
}

type endpoint struct {
	attempts map[string]*Attempt
	history  history
	report   LoadReport
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		attempts:  map[string]*Attempt{},
		endpoints: map[string]*endpoint{},
		hosts:     map[string]time.Time{},
	}
}

// Add starts to track an attempt. It has no effect if the attempt is tracked
// already.
func (t *Tracker) Add(a *Attempt, now time.Time) {
	if t.attempts[a.ID] != nil {
		return
	}
	t.attempts[a.ID] = a
	e := t.endpoint(a.Endpoint)
	e.attempts[a.ID] = a
	e.history.record(now, len(e.attempts))
}

// Remove stops tracking an attempt and returns it, or nil if it was not
// tracked.
func (t *Tracker) Remove(id string, now time.Time) *Attempt {
	a := t.attempts[id]
	if a == nil {
		return nil
	}
	delete(t.attempts, id)
	e := t.endpoint(a.Endpoint)
	delete(e.attempts, id)
	e.history.record(now, len(e.attempts))
	return a
}

// Get returns the tracked attempt with the id, or nil.
func (t *Tracker) Get(id string) *Attempt { return t.attempts[id] }

// Len returns the number of tracked attempts.
func (t *Tracker) Len() int { return len(t.attempts) }

// Running returns the number of tracked attempts on an endpoint.
func (t *Tracker) Running(name string) int { return len(t.endpoint(name).attempts) }

// ForEach calls visit for every attempt on an endpoint, in no particular order.
func (t *Tracker) ForEach(name string, visit func(*Attempt)) {
	for _, a := range t.endpoint(name).attempts {
		visit(a)
	}
}

// RemainingTokens returns the estimated tokens still to be processed on an
// endpoint.
func (t *Tracker) RemainingTokens(name string) int {
	total := 0
	for _, a := range t.endpoint(name).attempts {
		total += a.remainingTokens()
	}
	return total
}

// RunningOnVersion returns the number of attempts on a version, and the number
// of all attempts.
func (t *Tracker) RunningOnVersion(v core.Version) (running, total int) {
	for _, a := range t.attempts {
		if a.Version == v {
			running++
		}
	}
	return running, len(t.attempts)
}

func (t *Tracker) endpoint(name string) *endpoint {
	e := t.endpoints[name]
	if e == nil {
		e = &endpoint{attempts: map[string]*Attempt{}}
		t.endpoints[name] = e
	}
	return e
}
