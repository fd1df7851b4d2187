// Package leaving decides when an endpoint counts as leaving. There are two
// signs: an endpoint refuses work because it leaves, which is certain, and
// the platform's list says so, which lags.
package leaving

import "time"

const (
	// LiftAfter is how long an endpoint that the list shows live again must
	// have refused nothing before it gets new work.
	LiftAfter = 10 * time.Second
	// LiftUnlistedAfter takes the place of LiftAfter for an endpoint that
	// refused while the list showed it live all along: the list may only
	// not have caught up.
	LiftUnlistedAfter = 60 * time.Second
	// RefreshAfter is how old the last refusal must be before another one
	// is told to the other processes.
	RefreshAfter = 2 * time.Second
)

// State is what all processes agree on about an endpoint. The zero State is
// an endpoint that nothing was said about.
type State struct {
	Leaving bool
	// At is when that was last found, on the finder's clock.
	At time.Time
}

// Tell tells whether a refusal at now is news to the other processes.
func Tell(current State, now time.Time) bool {
	return !current.Leaving || now.Sub(current.At) >= RefreshAfter
}

// List holds what the platform's list says of each endpoint. It is owned by
// one duty.
type List struct {
	entries map[string]listed
}

// listed is the state of an endpoint in the list.
type listed struct {
	leaving bool
	// changed is when the list was seen to change to this state, zero for
	// the state in which it was first seen.
	changed time.Time
}

// NewList returns an empty list.
func NewList() *List { return &List{entries: map[string]listed{}} }

// Update takes in a newer list, which tells for each endpoint whether it is
// leaving.
func (l *List) Update(leaving map[string]bool, now time.Time) {
	entries := make(map[string]listed, len(leaving))
	for name, is := range leaving {
		entry, known := l.entries[name]
		switch {
		case !known:
			entry = listed{leaving: is}
		case entry.leaving != is:
			entry = listed{leaving: is, changed: now}
		}
		entries[name] = entry
	}
	l.entries = entries
}

// Names returns the endpoints in the list.
func (l *List) Names() []string {
	names := make([]string, 0, len(l.entries))
	for name := range l.entries {
		names = append(names, name)
	}
	return names
}

// Decide returns whether an endpoint is leaving by the list and the state
// that all agree on, and whether that changes the state.
func (l *List) Decide(endpoint string, current State, now time.Time) (leaving, change bool) {
	entry, known := l.entries[endpoint]
	if !known || entry.leaving == current.Leaving {
		return current.Leaving, false
	}
	newer := entry.changed.After(current.At)
	if entry.leaving {
		change = newer || current.At.IsZero()
		return change, change
	}
	wait := LiftUnlistedAfter
	if newer {
		wait = LiftAfter
	}
	change = now.Sub(current.At) >= wait
	return !change, change
}
