// Package fallback places requests locally on an entry host while no
// scheduler is reachable. Each host uses a fraction of every endpoint's slots,
// so that all hosts together do not overload an endpoint. Waiting requests
// are placed in order of tier, then of arrival.
package fallback

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcupcourse/internal/core"
)

const (
	// MaxWaiting is the maximum number of requests waiting for a slot.
	MaxWaiting = 256
	// ShedRetryAfter is the retry delay sent with a refusal.
	ShedRetryAfter = 2 * time.Second
)

// Request is a request to be placed.
type Request struct {
	// Attempt is the ID of the attempt.
	Attempt  string
	Pool     string
	Tier     core.Tier
	Exclude  []string
	Deadline time.Time
}

// Endpoint is an endpoint that may receive new requests.
type Endpoint struct {
	core.Endpoint
	// Quota is the number of requests that this host may run on the endpoint
	// concurrently.
	Quota int
}

// Placement is the result for a request: a grant, or a refusal if Refusal is
// set.
type Placement struct {
	Attempt string
	Grant   core.Grant
	Refusal *core.Refusal
}

// SlotQuota returns the number of an endpoint's slots that a host may use, given
// its part of them. A part below one slot is one slot on some of the endpoints, by
// the hash of host and endpoint, so that the hosts of a large fleet use about the
// endpoint's slots together and not one each.
func SlotQuota(slots int, fraction float64, host, endpoint string) int {
	part := float64(slots) * fraction
	if part >= 1 {
		return int(math.Floor(part))
	}
	if hashFraction(host, endpoint) < part {
		return 1
	}
	return 0
}

// hashFraction maps a host and an endpoint evenly onto [0, 1).
func hashFraction(host, endpoint string) float64 {
	const bits = 53
	return float64(xxhash.Sum64String(host+"/"+endpoint)>>(64-bits)) / (1 << bits)
}

// Placer tracks the requests that one host has placed locally and those that
// wait for a slot.
type Placer struct {
	endpoints  map[string][]Endpoint // by pool
	running    map[string]int        // by endpoint
	endpointOf map[string]string     // by attempt
	waiting    []Request             // ordered by tier, then arrival
}

// NewPlacer returns a Placer without endpoints or requests.
func NewPlacer() *Placer {
	return &Placer{endpoints: map[string][]Endpoint{}, running: map[string]int{}, endpointOf: map[string]string{}}
}

// SetEndpoints replaces the eligible endpoints, given by pool.
func (p *Placer) SetEndpoints(endpoints map[string][]Endpoint) { p.endpoints = endpoints }

// Add enqueues a request and returns the resulting placements, of this and of
// other requests. If the request is not among them, it waits.
func (p *Placer) Add(r Request, now time.Time) []Placement {
	if !p.hasEndpoint(r) {
		return []Placement{{Attempt: r.Attempt, Refusal: core.RefuseWithRetry(core.ReasonNoEndpoint,
			"no endpoint may take this request", ShedRetryAfter)}}
	}
	at, _ := slices.BinarySearchFunc(p.waiting, r, func(have, add Request) int {
		return cmp.Or(cmp.Compare(have.Tier, add.Tier), -1)
	})
	p.waiting = slices.Insert(p.waiting, at, r)
	return append(p.Place(now), p.shedExcess()...)
}

// shedExcess refuses the most recent request of the least important tier if
// more than MaxWaiting requests wait.
func (p *Placer) shedExcess() []Placement {
	if len(p.waiting) <= MaxWaiting {
		return nil
	}
	last := p.waiting[len(p.waiting)-1]
	p.waiting = p.waiting[:len(p.waiting)-1]
	return []Placement{{Attempt: last.Attempt, Refusal: core.RefuseWithRetry(core.ReasonShed,
		"too many requests wait at this host while no scheduler answers", ShedRetryAfter)}}
}

// Place places the waiting requests for which there is a free slot and refuses
// those whose deadline has passed.
func (p *Placer) Place(now time.Time) (placements []Placement) {
	p.waiting = slices.DeleteFunc(p.waiting, func(r Request) bool {
		placement, done := p.placeOne(r, now)
		if done {
			placements = append(placements, placement)
		}
		return done
	})
	return placements
}

func (p *Placer) placeOne(r Request, now time.Time) (Placement, bool) {
	if !now.Before(r.Deadline) {
		return Placement{Attempt: r.Attempt, Refusal: core.Refuse(core.ReasonDeadlinePassed,
			"the deadline passed before the request was placed")}, true
	}
	endpoint := p.leastLoaded(r)
	if endpoint == nil {
		return Placement{}, false
	}
	p.running[endpoint.Name]++
	p.endpointOf[r.Attempt] = endpoint.Name
	return Placement{Attempt: r.Attempt, Grant: core.Grant{
		Attempt: r.Attempt, Endpoint: endpoint.Name, Address: endpoint.Address, Version: endpoint.Version}}, true
}

// leastLoaded returns the endpoint that uses the smallest fraction of its
// quota, or nil if none has a free slot.
func (p *Placer) leastLoaded(r Request) (best *Endpoint) {
	lowest := 1.0
	endpoints := p.endpoints[r.Pool]
	for i := range endpoints {
		e := &endpoints[i]
		used := float64(p.running[e.Name]) / float64(e.Quota)
		if used < lowest && !slices.Contains(r.Exclude, e.Name) {
			best, lowest = e, used
		}
	}
	return best
}

func (p *Placer) hasEndpoint(r Request) bool {
	return slices.ContainsFunc(p.endpoints[r.Pool], func(e Endpoint) bool {
		return !slices.Contains(r.Exclude, e.Name)
	})
}

// Release removes an attempt, whether it is waiting or running.
func (p *Placer) Release(attempt string) {
	if endpoint, ok := p.endpointOf[attempt]; ok {
		delete(p.endpointOf, attempt)
		if p.running[endpoint]--; p.running[endpoint] == 0 {
			delete(p.running, endpoint)
		}
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(r Request) bool { return r.Attempt == attempt })
}

// NextDeadline returns the earliest deadline of the waiting requests, zero if
// there are none.
func (p *Placer) NextDeadline() (first time.Time) {
	for _, r := range p.waiting {
		if first.IsZero() || r.Deadline.Before(first) {
			first = r.Deadline
		}
	}
	return first
}
