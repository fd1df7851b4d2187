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
	// AheadTokens is the prefill that was pending on the endpoint when the
	// attempt was placed, RunningBefore how many attempts ran.
	AheadTokens, RunningBefore int
	// OutputTokens is the expected output, OutputSoFar what has arrived.
	OutputTokens, OutputSoFar int
	Granted                   time.Time
	// Begun is when the first token came, zero if that is not known.
	Begun time.Time
	// FirstToken and Finish are when these are expected.
	FirstToken, Finish time.Time
	// Confirmed tells that a report of the entry host has listed it.
	Confirmed bool
}

// tokens is the estimated work left.
func (a *Attempt) tokens() int {
	left := max(0, a.OutputTokens-a.OutputSoFar)
	if a.OutputSoFar == 0 {
		left += a.PrefillTokens
	}
	return max(1, left)
}

// Book holds the attempts in progress of one pool shard.
type Book struct {
	attempts  map[string]*Attempt
	endpoints map[string]*endpoint
	hosts     map[string]time.Time
}

type endpoint struct {
	attempts map[string]*Attempt
	history  history
	report   Report
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{
		attempts:  map[string]*Attempt{},
		endpoints: map[string]*endpoint{},
		hosts:     map[string]time.Time{},
	}
}

// Add counts an attempt. An attempt that is counted already is left as it is.
func (b *Book) Add(a *Attempt, now time.Time) {
	if b.attempts[a.ID] != nil {
		return
	}
	b.attempts[a.ID] = a
	e := b.endpoint(a.Endpoint)
	e.attempts[a.ID] = a
	e.history.note(now, len(e.attempts))
}

// Remove takes an attempt from the count and returns it, or nil if it was
// not counted.
func (b *Book) Remove(id string, now time.Time) *Attempt {
	a := b.attempts[id]
	if a == nil {
		return nil
	}
	delete(b.attempts, id)
	e := b.endpoint(a.Endpoint)
	delete(e.attempts, id)
	e.history.note(now, len(e.attempts))
	return a
}

// Get returns the counted attempt with the id, or nil.
func (b *Book) Get(id string) *Attempt { return b.attempts[id] }

// Len returns how many attempts are counted.
func (b *Book) Len() int { return len(b.attempts) }

// Running returns how many attempts are counted on an endpoint.
func (b *Book) Running(name string) int { return len(b.endpoint(name).attempts) }

// Each calls visit for every attempt on an endpoint, in no order.
func (b *Book) Each(name string, visit func(*Attempt)) {
	for _, a := range b.endpoint(name).attempts {
		visit(a)
	}
}

// Tokens returns the estimated tokens still to be worked off on an endpoint.
func (b *Book) Tokens(name string) int {
	total := 0
	for _, a := range b.endpoint(name).attempts {
		total += a.tokens()
	}
	return total
}

// VersionRunning returns how many attempts run on a version, and how many in
// all.
func (b *Book) VersionRunning(v core.Version) (running, total int) {
	for _, a := range b.attempts {
		if a.Version == v {
			running++
		}
	}
	return running, len(b.attempts)
}

func (b *Book) endpoint(name string) *endpoint {
	e := b.endpoints[name]
	if e == nil {
		e = &endpoint{attempts: map[string]*Attempt{}}
		b.endpoints[name] = e
	}
	return e
}
