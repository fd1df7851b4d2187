// Package leaving decides when an endpoint counts as leaving. There are two
// signs: an endpoint refuses work because it leaves, which is certain, and
// the platform's list says so, which lags.
package draining

import "time"

const (
	// ReadmitAfter is how long an endpoint that the list shows live again must
	// have refused nothing before it gets new work.
	ReadmitAfter = 10 * time.Second
	// ReadmitUnconfirmedAfter takes the place of LiftAfter for an endpoint that
	// refused while the list showed it live all along: the list may only
	// not have caught up.
	ReadmitUnconfirmedAfter = 60 * time.Second
	// ReannounceAfter is how old the last refusal must be before another one
	// is told to the other processes.
	ReannounceAfter = 2 * time.Second
)

// State is what all processes agree on about an endpoint. The zero State is
// an endpoint that nothing was said about.
type State struct {
	Draining bool
	// ObservedAt is when that was last found, on the finder's clock.
	ObservedAt time.Time
}

// ShouldAnnounce tells whether a refusal at now is news to the other processes.
func ShouldAnnounce(current State, now time.Time) bool {
	return !current.Draining || now.Sub(current.ObservedAt) >= ReannounceAfter
}

// PlatformList holds what the platform's list says of each endpoint. It is owned by
// one duty.
type PlatformList struct {
	entries map[string]listEntry
}

// listEntry is the state of an endpoint in the list.
type listEntry struct {
	draining bool
	// changedAt is when the list was seen to change to this state, zero for
	// the state in which it was first seen.
	changedAt time.Time
}

// NewPlatformList returns an empty list.
func NewPlatformList() *PlatformList { return &PlatformList{entries: map[string]listEntry{}} }

// Update takes in a newer list, which tells for each endpoint whether it is
// leaving.
func (l *PlatformList) Update(leaving map[string]bool, now time.Time) {
	entries := make(map[string]listEntry, len(leaving))
	for name, is := range leaving {
		entry, known := l.entries[name]
		switch {
		case !known:
			entry = listEntry{draining: is}
		case entry.draining != is:
			entry = listEntry{draining: is, changedAt: now}
		}
		entries[name] = entry
	}
	l.entries = entries
}

// Names returns the endpoints in the list.
func (l *PlatformList) Names() []string {
	names := make([]string, 0, len(l.entries))
	for name := range l.entries {
		names = append(names, name)
	}
	return names
}

// Decide returns whether an endpoint is leaving by the list and the state
// that all agree on, and whether that changes the state.
func (l *PlatformList) Decide(endpoint string, current State, now time.Time) (leaving, change bool) {
	entry, known := l.entries[endpoint]
	if !known || entry.draining == current.Draining {
		return current.Draining, false
	}
	newer := entry.changedAt.After(current.ObservedAt)
	if entry.draining {
		change = newer || current.ObservedAt.IsZero()
		return change, change
	}
	wait := ReadmitUnconfirmedAfter
	if newer {
		wait = ReadmitAfter
	}
	change = now.Sub(current.ObservedAt) >= wait
	return !change, change
}
