// Package withdrawal keeps what endpoints have said about new requests in their
// own responses: that they are leaving, or that they want none for some time. It
// holds for one incarnation of an endpoint and is independent of the store's list,
// which may be older.
package withdrawal

import "time"

const (
	// MaxRest is the longest time for which an endpoint can refuse requests. A
	// faulty endpoint that names a longer time is tried again after it.
	MaxRest = 5 * time.Minute
	// maxIncarnations bounds the remembered incarnations.
	maxIncarnations = 4096
)

// Incarnation is one run of an endpoint.
type Incarnation struct {
	Endpoint string
	// StartedUnixMS is its start time in Unix milliseconds.
	StartedUnixMS int64
}

// Tracker remembers the withdrawals. The zero value is not usable; see New.
type Tracker struct{ said map[Incarnation]withdrawal }

type withdrawal struct {
	leaving     bool
	restingTill time.Time
	saidAt      time.Time
}

// New returns a tracker without withdrawals.
func New() *Tracker { return &Tracker{said: map[Incarnation]withdrawal{}} }

// Leave records that an endpoint is leaving. It reports whether that is news.
func (t *Tracker) Leave(i Incarnation, now time.Time) bool {
	w := t.said[i]
	news := !w.leaving
	w.leaving, w.saidAt = true, now
	t.put(i, w)
	return news
}

// Rest records that an endpoint wants no requests for some time.
func (t *Tracker) Rest(i Incarnation, rest time.Duration, now time.Time) {
	w := t.said[i]
	w.saidAt = now
	if till := now.Add(min(rest, MaxRest)); till.After(w.restingTill) {
		w.restingTill = till
	}
	t.put(i, w)
}

// put stores a withdrawal. If there are too many, the oldest is dropped.
func (t *Tracker) put(i Incarnation, w withdrawal) {
	t.said[i] = w
	if len(t.said) <= maxIncarnations {
		return
	}
	oldest := i
	for other, said := range t.said {
		if said.saidAt.Before(t.said[oldest].saidAt) {
			oldest = other
		}
	}
	delete(t.said, oldest)
}

// Leaving reports whether an endpoint has said that it is leaving.
func (t *Tracker) Leaving(i Incarnation) bool { return t.said[i].leaving }

// RestLeft returns for how long an endpoint still wants no requests, zero if it
// takes them.
func (t *Tracker) RestLeft(i Incarnation, now time.Time) time.Duration {
	return max(0, t.said[i].restingTill.Sub(now))
}
