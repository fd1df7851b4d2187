// Package roster decides which endpoints a host believes in. The platform
// removes the entry of an endpoint that has gone, but also, while its store is
// away, entries of endpoints that live. The roster keeps the latter until
// their entries must be back.
package discovery

import (
	"cmp"
	"slices"
	"time"

	"kingcupcourse/internal/decision/catalog"
)

// GracePeriod is how long after the return of the store a missing entry may
// still come back: two seconds by the platform's description, and a margin for
// the way of the answer.
const GracePeriod = 2300 * time.Millisecond

// MinOutage is the shortest time without an answer of the store after which
// entries are taken as lapsed. An entry lapses after three heartbeats of more
// than a second, so a shorter outage lets none lapse.
const MinOutage = 2 * time.Second

// Registry is the belief. The zero value is not usable; see New.
type Registry struct {
	entries map[string]entry
	// failingSince is when the calls to the store began to fail, zero while they
	// are answered. recoveredAt is when it answered first after an outage.
	failingSince, recoveredAt time.Time
}

type entry struct {
	endpoint catalog.Endpoint
	// missing tells that the entry has been removed within the grace.
	missing bool
}

// New returns an empty roster.
func New() *Registry { return &Registry{entries: map[string]entry{}} }

// StoreFailed notes a call without an answer.
func (r *Registry) StoreFailed(now time.Time) {
	if r.failingSince.IsZero() {
		r.failingSince = now
	}
}

// StoreAnswered notes an answered call.
func (r *Registry) StoreAnswered(now time.Time) {
	if !r.failingSince.IsZero() && now.Sub(r.failingSince) >= MinOutage {
		r.recoveredAt = now
	}
	r.failingSince = time.Time{}
}

// Put notes an endpoint's entry.
func (r *Registry) Put(endpoint catalog.Endpoint) {
	r.entries[endpoint.Name] = entry{endpoint: endpoint}
}

// Remove notes that an entry is gone. It tells whether the endpoint is kept
// until the grace has passed.
func (r *Registry) Remove(name string, now time.Time) (kept bool) {
	e, ok := r.entries[name]
	if !ok {
		return false
	}
	if e.endpoint.Draining || !r.inGracePeriod(now) {
		delete(r.entries, name)
		return false
	}
	e.missing = true
	r.entries[name] = e
	return true
}

// Replace notes a whole list. It returns the names of the endpoints whose
// entries are missing in it.
func (r *Registry) Replace(all []catalog.Endpoint, now time.Time) (missing []string) {
	listed := make(map[string]bool, len(all))
	for _, endpoint := range all {
		listed[endpoint.Name] = true
		r.Put(endpoint)
	}
	for name := range r.entries {
		if !listed[name] {
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	for _, name := range missing {
		r.Remove(name, now)
	}
	return missing
}

// inGracePeriod tells whether entries may be missing because the store was away.
func (r *Registry) inGracePeriod(now time.Time) bool {
	return r.inOutage(now) || (!r.recoveredAt.IsZero() && now.Before(r.recoveredAt.Add(GracePeriod)))
}

func (r *Registry) inOutage(now time.Time) bool {
	return !r.failingSince.IsZero() && now.Sub(r.failingSince) >= MinOutage
}

// NextExpiry returns when Expire has something to do, zero for never.
func (r *Registry) NextExpiry() time.Time {
	if !r.failingSince.IsZero() {
		return time.Time{}
	}
	for _, e := range r.entries {
		if e.missing {
			return r.recoveredAt.Add(GracePeriod)
		}
	}
	return time.Time{}
}

// Expire drops the endpoints whose entries did not come back in time and
// returns their names.
func (r *Registry) Expire(now time.Time) (gone []string) {
	if r.inGracePeriod(now) {
		return nil
	}
	for name, e := range r.entries {
		if e.missing {
			gone = append(gone, name)
			delete(r.entries, name)
		}
	}
	slices.Sort(gone)
	return gone
}

// Endpoints returns the endpoints by name.
func (r *Registry) Endpoints() []catalog.Endpoint {
	all := make([]catalog.Endpoint, 0, len(r.entries))
	for _, e := range r.entries {
		all = append(all, e.endpoint)
	}
	slices.SortFunc(all, func(a, b catalog.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
