// Package share limits how much of a pool's traffic an unproved version gets.
package share

import "kingcupcourse/internal/core"

// windowSize is how many of the latest dispatches are counted.
const windowSize = 200

// DispatchWindow counts the latest dispatches by version.
type DispatchWindow struct {
	versions []core.Version
	next     int
	counts   map[core.Version]int
}

// NewDispatchWindow returns an empty window.
func NewDispatchWindow() *DispatchWindow { return &DispatchWindow{counts: map[core.Version]int{}} }

// Add records one dispatch.
func (w *DispatchWindow) Add(v core.Version) {
	w.counts[v]++
	if len(w.versions) < windowSize {
		w.versions = append(w.versions, v)
		return
	}
	w.counts[w.versions[w.next]]--
	w.versions[w.next] = v
	w.next = (w.next + 1) % windowSize
}

// Traffic counts dispatches or attempts: those of one version, and those of all
// versions.
type Traffic struct{ Version, Total int }

// Traffic returns how many of the latest dispatches are the version's.
func (w *DispatchWindow) Traffic(v core.Version) Traffic {
	return Traffic{Version: w.counts[v], Total: len(w.versions)}
}

// Allows reports whether one more attempt keeps the version within the limit, a
// fraction from 0 to 1, both of the latest dispatches and of the attempts in
// progress. One attempt at a time is allowed whatever is in progress, so that a
// version can be tried in a pool with little traffic; the limit on the latest
// dispatches applies to it as well.
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
