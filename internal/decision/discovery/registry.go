// Package discovery decides which endpoints a host takes as existing. The
// platform removes the entry of an endpoint that has gone, but while its store is
// unavailable it also loses entries of live endpoints. The registry keeps the
// latter for a grace period, within which their entries must reappear.
package discovery

import (
	"cmp"
	"slices"
	"time"

	"kingcupcourse/internal/decision/catalog"
)

// GracePeriod is how long after the recovery of the store a missing entry may
// still reappear: two seconds according to the platform's description, plus a
// margin for the delay of the answer.
const GracePeriod = 2300 * time.Millisecond

// MinOutage is the shortest time without an answer of the store after which
// missing entries are assumed to have lapsed. An entry lapses after three missed
// heartbeats, more than a second apart, so no entry lapses in a shorter outage.
const MinOutage = 2 * time.Second

// Registry holds the known endpoints. The zero value is not usable; see New.
type Registry struct {
	entries map[string]entry
	// failingSince is when the calls to the store began to fail, zero while
	// they are answered. recoveredAt is when the first call was answered
	// after an outage.
	failingSince, recoveredAt time.Time
}

type entry struct {
	endpoint catalog.Endpoint
	// missing is set if the entry was removed in an outage or within the
	// grace period after it.
	missing bool
}

// New returns an empty registry.
func New() *Registry { return &Registry{entries: map[string]entry{}} }

// StoreFailed records a call to the store without an answer.
func (r *Registry) StoreFailed(now time.Time) {
	if r.failingSince.IsZero() {
		r.failingSince = now
	}
}

// StoreResponded records an answered call to the store.
func (r *Registry) StoreResponded(now time.Time) {
	if !r.failingSince.IsZero() && now.Sub(r.failingSince) >= MinOutage {
		r.recoveredAt = now
	}
	r.failingSince = time.Time{}
}

// Put adds or replaces an endpoint.
func (r *Registry) Put(endpoint catalog.Endpoint) {
	r.entries[endpoint.Name] = entry{endpoint: endpoint}
}

// Remove records that the entry of an endpoint is gone. It reports whether the
// endpoint is kept until the end of the grace period.
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

// Replace records a complete list of entries. It returns the names of the known
// endpoints that the list lacks.
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

// inGracePeriod reports whether entries may be missing because of an outage.
func (r *Registry) inGracePeriod(now time.Time) bool {
	return r.inOutage(now) || (!r.recoveredAt.IsZero() && now.Before(r.recoveredAt.Add(GracePeriod)))
}

func (r *Registry) inOutage(now time.Time) bool {
	return !r.failingSince.IsZero() && now.Sub(r.failingSince) >= MinOutage
}

// NextExpiry returns when Expire is due, zero for never.
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

// Expire removes the endpoints whose entries did not reappear in time and
// returns their names.
func (r *Registry) Expire(now time.Time) (expired []string) {
	if r.inGracePeriod(now) {
		return nil
	}
	for name, e := range r.entries {
		if e.missing {
			expired = append(expired, name)
			delete(r.entries, name)
		}
	}
	slices.Sort(expired)
	return expired
}

// Endpoints returns the endpoints, ordered by name.
func (r *Registry) Endpoints() []catalog.Endpoint {
	all := make([]catalog.Endpoint, 0, len(r.entries))
	for _, e := range r.entries {
		all = append(all, e.endpoint)
	}
	slices.SortFunc(all, func(a, b catalog.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
