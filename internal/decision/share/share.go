// Package share bounds how much of a pool's traffic an unproved version
// gets.
package share

import "kingcupcourse/internal/core"

// windowSize is how many of the newest dispatches are counted.
const windowSize = 200

// DispatchWindow counts the newest dispatches by version.
type DispatchWindow struct {
	versions []core.Version
	next     int
	counts   map[core.Version]int
}

// NewDispatchWindow returns an empty count.
func NewDispatchWindow() *DispatchWindow { return &DispatchWindow{counts: map[core.Version]int{}} }

// Add counts one dispatch.
func (r *DispatchWindow) Add(v core.Version) {
	r.counts[v]++
	if len(r.versions) < windowSize {
		r.versions = append(r.versions, v)
		return
	}
	r.counts[r.versions[r.next]]--
	r.versions[r.next] = v
	r.next = (r.next + 1) % windowSize
}

// Traffic is how much a version has of a total.
type Traffic struct{ Version, Total int }

// Traffic returns a version's part of the newest dispatches.
func (r *DispatchWindow) Traffic(v core.Version) Traffic {
	return Traffic{Version: r.counts[v], Total: len(r.versions)}
}

// Allows tells whether one more attempt keeps the version within the limit, a
// fraction from 0 to 1, of the newest dispatches and of the attempts in
// progress. One attempt at a time is allowed whatever is in progress, so that
// a version can be tried in a pool with little traffic; the bound on the
// newest dispatches holds for it as well.
func Allows(limit float64, recent, running Traffic) bool {
	switch {
	case limit >= 1:
		return true
	case limit <= 0:
		return false
	case float64(recent.Version+1) > limit*float64(recent.Total+1):
		return false
	default:
		return float64(running.Version+1) <= max(1, limit*float64(running.Total+1))
	}
}
