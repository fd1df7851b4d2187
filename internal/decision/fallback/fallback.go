// Package fallback decides where an entry host places requests by itself
// while no scheduler answers. Each host uses a share of every endpoint's
// slots, so that all hosts together do not overload one. Waiting requests
// are served in the order of their tiers.
package fallback

import (
	"cmp"
	"math"
	"slices"
	"time"

	"kingcupcourse/internal/core"
)

const (
	// MaxWaiting bounds the requests that wait for a slot.
	MaxWaiting = 256
	// ShedRetryAfter is how long a shed caller is asked to wait.
	ShedRetryAfter = 2 * time.Second
)

// Request is one request to place.
type Request struct {
	// Attempt names the request's attempt.
	Attempt  string
	Pool     string
	Tier     core.Tier
	Exclude  []string
	Deadline time.Time
}

// Endpoint is an endpoint that may get new work.
type Endpoint struct {
	core.Endpoint
	// Quota is how many requests this host may run on it at once.
	Quota int
}

// Placement is what became of a request: a grant, or a refusal.
type Placement struct {
	Attempt string
	Grant   core.Grant
	Refusal *core.Refusal
}

// SlotQuota returns how many of an endpoint's slots one host may use: at least
// one, so that no host is shut out.
func SlotQuota(slots int, fraction float64) int {
	return max(1, int(math.Floor(float64(slots)*fraction)))
}

// Placer is what one host has placed by itself and what waits.
type Placer struct {
	endpoints  map[string][]Endpoint // by pool
	running    map[string]int        // by endpoint
	endpointOf map[string]string     // endpoint by attempt
	waiting    []Request             // by tier, then arrival
}

// NewPlacer returns an empty state.
func NewPlacer() *Placer {
	return &Placer{endpoints: map[string][]Endpoint{}, running: map[string]int{}, endpointOf: map[string]string{}}
}

// SetEndpoints replaces the endpoints that may get new work, by pool.
func (s *Placer) SetEndpoints(endpoints map[string][]Endpoint) { s.endpoints = endpoints }

// Add takes a request. The returned placements, of this and of other
// requests, follow from it; the request waits if it is not among them.
func (s *Placer) Add(r Request, now time.Time) []Placement {
	if !s.hasEndpoint(r) {
		return []Placement{{Attempt: r.Attempt, Refusal: core.RefuseWithRetry(core.ReasonNoEndpoint,
			"no endpoint may take this request", ShedRetryAfter)}}
	}
	at, _ := slices.BinarySearchFunc(s.waiting, r, func(have, add Request) int {
		return cmp.Or(cmp.Compare(have.Tier, add.Tier), -1)
	})
	s.waiting = slices.Insert(s.waiting, at, r)
	return append(s.Place(now), s.shedExcess()...)
}

// shedExcess refuses the last of the least important tier above the bound.
func (s *Placer) shedExcess() []Placement {
	if len(s.waiting) <= MaxWaiting {
		return nil
	}
	last := s.waiting[len(s.waiting)-1]
	s.waiting = s.waiting[:len(s.waiting)-1]
	return []Placement{{Attempt: last.Attempt, Refusal: core.RefuseWithRetry(core.ReasonShed,
		"too many requests wait at this host while no scheduler answers", ShedRetryAfter)}}
}

// Place places every waiting request for which there is a slot and refuses
// those whose deadline has passed.
func (s *Placer) Place(now time.Time) (placements []Placement) {
	s.waiting = slices.DeleteFunc(s.waiting, func(r Request) bool {
		p, done := s.placeOne(r, now)
		if done {
			placements = append(placements, p)
		}
		return done
	})
	return placements
}

func (s *Placer) placeOne(r Request, now time.Time) (Placement, bool) {
	if !now.Before(r.Deadline) {
		return Placement{Attempt: r.Attempt, Refusal: core.Refuse(core.ReasonDeadlinePassed,
			"the deadline passed before the request was placed")}, true
	}
	best := s.leastLoaded(r)
	if best == nil {
		return Placement{}, false
	}
	s.running[best.Name]++
	s.endpointOf[r.Attempt] = best.Name
	return Placement{Attempt: r.Attempt, Grant: core.Grant{
		Attempt: r.Attempt, Endpoint: best.Name, Address: best.Address, Version: best.Version}}, true
}

// leastLoaded returns the endpoint with the smallest used part of its share,
// or nil if none has a slot.
func (s *Placer) leastLoaded(r Request) (best *Endpoint) {
	lowest := 1.0
	endpoints := s.endpoints[r.Pool]
	for i := range endpoints {
		e := &endpoints[i]
		used := float64(s.running[e.Name]) / float64(e.Quota)
		if used < lowest && !slices.Contains(r.Exclude, e.Name) {
			best, lowest = e, used
		}
	}
	return best
}

func (s *Placer) hasEndpoint(r Request) bool {
	return slices.ContainsFunc(s.endpoints[r.Pool], func(e Endpoint) bool {
		return !slices.Contains(r.Exclude, e.Name)
	})
}

// Release ends an attempt, whether it waits or runs.
func (s *Placer) Release(attempt string) {
	if endpoint, ok := s.endpointOf[attempt]; ok {
		delete(s.endpointOf, attempt)
		if s.running[endpoint]--; s.running[endpoint] == 0 {
			delete(s.running, endpoint)
		}
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(r Request) bool { return r.Attempt == attempt })
}

// NextDeadline returns the first deadline of a waiting request, zero if none
// waits.
func (s *Placer) NextDeadline() (first time.Time) {
	for _, r := range s.waiting {
		if first.IsZero() || r.Deadline.Before(first) {
			first = r.Deadline
		}
	}
	return first
}
