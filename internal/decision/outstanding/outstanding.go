// Package outstanding counts the attempts in progress on each endpoint. The
// count is the owner's own: grants add to it, outcomes and lost entries take
// from it, and an endpoint's lagging load report only corrects it upwards.
package outstanding

import (
	"time"

	"kingcupcourse/internal/core"
)

const (
	// HostTimeout is how long an entry host may be silent before its
	// attempts are taken from the count.
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
	// PrefillTokens is the prompt less the cached prefix.
	PrefillTokens int
	// PrefillTokensAhead is the prefill that was pending on the endpoint when the
	// attempt was placed, RunningAtPlacement how many attempts ran.
	PrefillTokensAhead, RunningAtPlacement int
	// ExpectedOutputTokens is the expected output, OutputReceived what has arrived.
	ExpectedOutputTokens, OutputReceived int
	GrantedAt                            time.Time
	// FirstTokenAt is when the first token came, zero if that is not known.
	FirstTokenAt time.Time
	// ExpectedFirstToken and ExpectedFinish are when these are expected.
	ExpectedFirstToken, ExpectedFinish time.Time
	// Confirmed tells that a report of the entry host has listed it.
	Confirmed bool
}

// remainingTokens is the estimated work left.
func (a *Attempt) remainingTokens() int {
	left := max(0, a.ExpectedOutputTokens-a.OutputReceived)
	if a.OutputReceived == 0 {
		left += a.PrefillTokens
	}
	return max(1, left)
}

// Tracker holds the attempts in progress of one pool shard.
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

// NewTracker returns an empty book.
func NewTracker() *Tracker {
	return &Tracker{
		attempts:  map[string]*Attempt{},
		endpoints: map[string]*endpoint{},
		hosts:     map[string]time.Time{},
	}
}

// Add counts an attempt. An attempt that is counted already is left as it is.
func (b *Tracker) Add(a *Attempt, now time.Time) {
	if b.attempts[a.ID] != nil {
		return
	}
	b.attempts[a.ID] = a
	e := b.endpoint(a.Endpoint)
	e.attempts[a.ID] = a
	e.history.record(now, len(e.attempts))
}

// Remove takes an attempt from the count and returns it, or nil if it was
// not counted.
func (b *Tracker) Remove(id string, now time.Time) *Attempt {
	a := b.attempts[id]
	if a == nil {
		return nil
	}
	delete(b.attempts, id)
	e := b.endpoint(a.Endpoint)
	delete(e.attempts, id)
	e.history.record(now, len(e.attempts))
	return a
}

// Get returns the counted attempt with the id, or nil.
func (b *Tracker) Get(id string) *Attempt { return b.attempts[id] }

// Len returns how many attempts are counted.
func (b *Tracker) Len() int { return len(b.attempts) }

// Running returns how many attempts are counted on an endpoint.
func (b *Tracker) Running(name string) int { return len(b.endpoint(name).attempts) }

// ForEach calls visit for every attempt on an endpoint, in no order.
func (b *Tracker) ForEach(name string, visit func(*Attempt)) {
	for _, a := range b.endpoint(name).attempts {
		visit(a)
	}
}

// RemainingTokens returns the estimated tokens still to be worked off on an endpoint.
func (b *Tracker) RemainingTokens(name string) int {
	total := 0
	for _, a := range b.endpoint(name).attempts {
		total += a.remainingTokens()
	}
	return total
}

// RunningOnVersion returns how many attempts run on a version, and how many in
// all.
func (b *Tracker) RunningOnVersion(v core.Version) (running, total int) {
	for _, a := range b.attempts {
		if a.Version == v {
			running++
		}
	}
	return running, len(b.attempts)
}

func (b *Tracker) endpoint(name string) *endpoint {
	e := b.endpoints[name]
	if e == nil {
		e = &endpoint{attempts: map[string]*Attempt{}}
		b.endpoints[name] = e
	}
	return e
}
