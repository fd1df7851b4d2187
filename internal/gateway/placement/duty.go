// Package placement is the duty that chooses endpoints. It counts what this
// host has running on each, and keeps work away from endpoints that fail.
package placement

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/decision/health"
	"kingcupcourse/internal/decision/placement"
	owncatalog "kingcupcourse/internal/gateway/catalog"
	"kingcupcourse/internal/ring"
)

const (
	// ringCapacity bounds the messages that wait for the duty.
	ringCapacity = 1024
	// maxFirstTurn bounds where a host begins among equal endpoints.
	maxFirstTurn = 1 << 16
	// noEndpointRetry is when a caller may come back that found no endpoint.
	noEndpointRetry = 500 * time.Millisecond
)

// Message is a message to the duty.
type Message interface{ handle(d *Duty, now time.Time) }

// Place asks for an endpoint.
type Place struct {
	ring.Reply[Placed]
	Service string
	// Exclude lists endpoints that must not be chosen again.
	Exclude  []string
	Deadline time.Time
}

// Placed is the answer. Each endpoint given is returned by Ended.
type Placed struct {
	Endpoint catalog.Endpoint
	Refusal  *core.Refusal
	// Running is what this host had running on the endpoint before.
	Running int
}

// Ended tells how an attempt ended.
type Ended struct {
	Endpoint string
	Result   core.Result
}

// endpoint is what the duty knows of one endpoint.
type endpoint struct {
	catalog.Endpoint
	health  health.Endpoint
	running int
	gone    bool
}

// Duty implements supervisor.Duty.
type Duty struct {
	inbox     *ring.Ring[Message]
	views     owncatalog.Subscription
	zone      core.AvailabilityZone
	policy    *placement.Policy
	endpoints map[string]*endpoint
	services  map[string][]*endpoint
}

// New returns the duty of a host.
func New(host core.Host, views owncatalog.Subscription) *Duty {
	return &Duty{
		inbox: ring.New[Message]("gateway_placement", ringCapacity), views: views, zone: host.AvailabilityZone,
		policy: &placement.Policy{
			Filters: []placement.Filter{placement.Leaving{}, placement.Excluded{}, placement.Ready{}},
			Scorer:  placement.LeastOutstanding{},
			Picker:  &placement.LowestInTurn{Turn: int(xxhash.Sum64String(host.Name) % maxFirstTurn)},
		},
		endpoints: map[string]*endpoint{}, services: map[string][]*endpoint{},
	}
}

// Inbox is where messages for the duty are put.
func (d *Duty) Inbox() *ring.Ring[Message] { return d.inbox }

// Serve implements supervisor.Duty.
func (d *Duty) Serve(ctx context.Context) error {
	return ring.Loop(ctx, d.inbox, func(m Message) error {
		if snapshot, ok := d.views.TryTake(); ok {
			d.refresh(snapshot)
		}
		m.handle(d, time.Now())
		return nil
	})
}

// refresh takes over the list of endpoints. What runs on one that has gone is
// still counted until it has ended.
func (d *Duty) refresh(snapshot *catalog.Snapshot) {
	for _, e := range d.endpoints {
		e.gone = true
	}
	d.services = map[string][]*endpoint{}
	for _, listed := range snapshot.Endpoints {
		e := d.endpoints[listed.Name]
		if e == nil || !e.Started.Equal(listed.Started) || e.Address != listed.Address {
			e = &endpoint{}
			d.endpoints[listed.Name] = e
		}
		e.Endpoint, e.gone = listed, false
		d.services[listed.Service] = append(d.services[listed.Service], e)
	}
	for name, e := range d.endpoints {
		if e.gone && e.running == 0 {
			delete(d.endpoints, name)
		}
	}
}

func (m Place) handle(d *Duty, now time.Time) { m.Send(d.place(m, now)) }

func (d *Duty) place(m Place, now time.Time) Placed {
	candidates := d.candidates(m.Service, now)
	request := &core.Request{Exclude: m.Exclude, Deadline: m.Deadline}
	decision := d.policy.Place(candidates, &placement.Need{Request: request, Now: now})
	if decision.Chosen == nil {
		return Placed{Refusal: core.RefuseFor(core.ReasonNoEndpoint,
			"no endpoint of the service: "+d.policy.Blocked(decision), noEndpointRetry)}
	}
	chosen := d.endpoints[decision.Chosen.Endpoint.Name]
	chosen.running++
	return Placed{Endpoint: chosen.Endpoint, Running: chosen.running - 1}
}

func (d *Duty) candidates(service string, now time.Time) []placement.Candidate {
	all := d.services[service]
	resting := 0
	for _, e := range all {
		if e.health.Resting(now) {
			resting++
		}
	}
	excuse := health.Excuse(resting, len(all))
	candidates := make([]placement.Candidate, 0, len(all))
	for _, e := range all {
		candidates = append(candidates, placement.Candidate{
			Endpoint: e.Endpoint.Endpoint, Version: e.Version, Leaving: e.Leaving, Running: e.running,
			NotReady: !excuse && e.health.Resting(now), Near: e.AvailabilityZone == d.zone,
		})
	}
	return candidates
}

func (m Ended) handle(d *Duty, now time.Time) {
	e := d.endpoints[m.Endpoint]
	if e == nil {
		return
	}
	e.running = max(0, e.running-1)
	switch m.Result {
	case core.ResultOK:
		e.health.Succeeded()
	case core.ResultLost, core.ResultFailed, core.ResultNotDispatched:
		e.health.Failed(now)
	}
}
