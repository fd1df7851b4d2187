// Package draining decides when an endpoint is treated as draining. There are
// two sources: the endpoint refuses requests because it is draining, which is
// authoritative, and the platform's list, which lags behind.
package draining

import "time"

const (
	// ReadmitAfter is the time without a refusal after which an endpoint that
	// the list shows as live again receives new requests.
	ReadmitAfter = 10 * time.Second
	// ReadmitUnconfirmedAfter replaces ReadmitAfter for an endpoint that
	// refused requests while the list has shown it as live throughout, because
	// the list may not have caught up yet.
	ReadmitUnconfirmedAfter = 60 * time.Second
	// ReannounceAfter is the shortest time between two refusals of an endpoint
	// that are announced to the other processes.
	ReannounceAfter = 2 * time.Second
)

// State is the gossiped state of an endpoint. The zero State means that
// nothing has been announced.
type State struct {
	Draining bool
	// ObservedAt is the time of the last observation, by the observer's clock.
	ObservedAt time.Time
}

// ShouldAnnounce reports whether a refusal at the time now must be announced
// to the other processes.
func ShouldAnnounce(current State, now time.Time) bool {
	return !current.Draining || now.Sub(current.ObservedAt) >= ReannounceAfter
}

// PlatformList tracks the state of each endpoint in the platform's list. It is
// owned by one duty and not safe for concurrent use.
type PlatformList struct {
	entries map[string]listEntry
}

// listEntry is the state of an endpoint in the list.
type listEntry struct {
	draining bool
	// changedAt is when the list was observed to change to this state, zero if
	// the endpoint has been in this state since it was first listed.
	changedAt time.Time
}

// NewPlatformList returns an empty list.
func NewPlatformList() *PlatformList { return &PlatformList{entries: map[string]listEntry{}} }

// Update replaces the list with a newer one, given as the draining state of
// each endpoint.
func (l *PlatformList) Update(draining map[string]bool, now time.Time) {
	entries := make(map[string]listEntry, len(draining))
	for name, isDraining := range draining {
		entry, known := l.entries[name]
		switch {
		case !known:
			entry = listEntry{draining: isDraining}
		case entry.draining != isDraining:
			entry = listEntry{draining: isDraining, changedAt: now}
		}
		entries[name] = entry
	}
	l.entries = entries
}

// Names returns the names of the listed endpoints.
func (l *PlatformList) Names() []string {
	names := make([]string, 0, len(l.entries))
	for name := range l.entries {
		names = append(names, name)
	}
	return names
}

// Decide returns whether an endpoint is draining according to the list and the
// gossiped state, and whether that differs from the gossiped state.
func (l *PlatformList) Decide(endpoint string, current State, now time.Time) (draining, change bool) {
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
