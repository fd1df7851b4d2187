package placement

import (
	"maps"
	"slices"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/fleet"
	"kingcupcourse/internal/decision/spill"
	"kingcupcourse/internal/ring"
)

// unresponsiveBackoff is how long a coordinator that did not respond is passed
// over. Without it each request would wait for a frozen coordinator.
const unresponsiveBackoff = time.Second

// target is a coordinator that may place a request.
type target struct {
	// shard is the number of the service's shard that it coordinates, from 1.
	shard int
	// address is empty for this host.
	address string
	// zone is the zone of the coordinator.
	zone core.AvailabilityZone
	// cause is why it is asked, onlyIfSilent that it is asked only if none of
	// those before answered.
	cause        spill.Cause
	onlyIfSilent bool
}

// directory knows which host coordinates which endpoints.
type directory struct {
	self      core.Host
	zoneAware bool
	ring      *fleet.Ring
	homes     map[int]int // home shard of this host, by number of shards
	services  map[string]*shards
	links     *links
	retryAt   map[string]time.Time // by address, until when a coordinator is passed over
}

// shards is the division of a service's endpoints.
type shards struct {
	*fleet.Division
	ring    *fleet.Ring // by which it was divided
	numbers []int       // of the shards, ascending
	// home is the shard of this host.
	home   int
	orders map[int][]fleet.Host // by shard
	// turn rotates over the shards that this host asks second.
	turn int
	// rooms is what is known of the shards' room. relayed rotates over what is
	// passed on.
	rooms   map[int]countedRoom
	relayed int
	decider *spill.Decider
}

func newDirectory(self core.Host, zoneAware bool) *directory {
	return &directory{self: self, zoneAware: zoneAware, ring: fleet.NewRing([]fleet.Host{{Name: self.Name, AvailabilityZone: self.AvailabilityZone}}),
		homes: map[int]int{}, services: map[string]*shards{}, links: newLinks(), retryAt: map[string]time.Time{}}
}

// setHosts replaces the hosts of the fleet. Endpoints move only if the number of
// shards changes.
func (d *directory) setHosts(hosts *fleet.Ring, services map[string][]*endpoint) {
	d.ring = hosts
	clear(d.homes)
	d.setEndpoints(services)
	for _, s := range d.services {
		s.home, s.orders = d.home(s.Division, s.numbers), map[int][]fleet.Host{}
	}
}

// setEndpoints replaces the endpoints by service. It divides only the services
// whose endpoints, or number of shards, have changed.
func (d *directory) setEndpoints(services map[string][]*endpoint) {
	for service := range d.services {
		if services[service] == nil {
			delete(d.services, service)
		}
	}
	for service, endpoints := range services {
		known := d.services[service]
		if known == nil || known.ring != d.ring && d.divisionChanges(known, len(endpoints)) || !known.contains(endpoints) {
			d.services[service] = d.divide(endpoints, known)
		}
	}
}

// divisionChanges reports whether other hosts may divide endpoints otherwise. By
// zone that follows from the hosts of each zone, else from the number of shards.
func (d *directory) divisionChanges(known *shards, endpoints int) bool {
	return d.zoneAware || len(known.numbers) != fleet.ShardCount(d.ring.Len(), endpoints)
}

// contains reports whether these endpoints have been divided.
func (s *shards) contains(endpoints []*endpoint) bool {
	for _, e := range endpoints {
		if _, ok := s.ShardOf[e.Endpoint.Name]; !ok {
			return false
		}
	}
	return len(endpoints) == len(s.ShardOf)
}

// divide divides endpoints into shards. What is known of the shards is kept.
func (d *directory) divide(endpoints []*endpoint, known *shards) *shards {
	members := make([]fleet.Member, 0, len(endpoints))
	for _, e := range endpoints {
		members = append(members, fleet.Member{Name: e.Endpoint.Name, Zone: e.AvailabilityZone})
	}
	division := fleet.Divide
	if d.zoneAware {
		division = fleet.DivideByZone
	}
	divided := &shards{Division: division(members, d.ring), ring: d.ring, orders: map[int][]fleet.Host{}, rooms: map[int]countedRoom{}, decider: spill.NewDecider()}
	divided.numbers = divided.Shards()
	if known != nil {
		divided.turn, divided.relayed = known.turn, known.relayed
		if maps.Equal(known.Zones, divided.Zones) {
			divided.rooms, divided.decider, divided.orders = known.rooms, known.decider, known.orders
		}
	}
	divided.home = d.home(divided.Division, divided.numbers)
	return divided
}

// home returns this host's home among the shards.
func (d *directory) home(division *fleet.Division, numbers []int) int {
	if d.zoneAware {
		return division.Home(d.self.Name, d.ring)
	}
	home, known := d.homes[len(numbers)]
	if !known {
		home = division.Home(d.self.Name, d.ring)
		d.homes[len(numbers)] = home
	}
	return home
}

// targets returns the coordinators to ask for a request: that of the home shard,
// and that of another shard in case the first has no room. With zones considered
// the order follows what is known of the shards' room, and maxWait is how long the
// request may wait; isOpen tells to which zones it may go.
func (d *directory) targets(req Request, maxWait time.Duration, isOpen zoneFilter, now time.Time) []target {
	s := d.services[req.Service]
	if s == nil {
		return []target{{shard: 1}}
	}
	if d.zoneAware && len(s.numbers) > 1 {
		return d.targetsByRoom(s, req, maxWait, isOpen, now)
	}
	found := []target{d.target(req.Service, s.home, now)}
	if count := len(s.numbers); count > 1 {
		s.turn = (s.turn + 1) % (count - 1)
		found = append(found, d.target(req.Service, s.numbers[(slices.Index(s.numbers, s.home)+1+s.turn)%count], now))
	}
	return found
}

// target returns the coordinator of a shard.
func (d *directory) target(service string, shard int, now time.Time) target {
	host := d.coordinator(service, shard, now)
	return target{shard: shard + 1, address: host.Address, zone: host.AvailabilityZone}
}

// coordinator returns the host that coordinates a shard, without an address if that
// is this host.
func (d *directory) coordinator(service string, shard int, now time.Time) fleet.Host {
	self := fleet.Host{AvailabilityZone: d.self.AvailabilityZone}
	for _, host := range d.order(service, shard) {
		switch {
		case host.Name == d.self.Name:
			return self
		case !now.Before(d.retryAt[host.Address]):
			return host
		}
	}
	return self
}

// order returns the hosts in the order in which they coordinate a shard.
func (d *directory) order(service string, shard int) []fleet.Host {
	s := d.services[service]
	if s.orders[shard] == nil {
		s.orders[shard] = d.ring.OrderInZone(service, shard, s.Zones[shard])
	}
	return s.orders[shard]
}

// owns reports whether this host is the first coordinator of an endpoint, not one
// that stands in for another.
func (d *directory) owns(service, endpoint string) bool {
	s := d.services[service]
	return s != nil && d.order(service, s.ShardOf[endpoint])[0].Name == d.self.Name
}

// coordinatorOf returns the address of the coordinator of an endpoint, empty for
// this host.
func (d *directory) coordinatorOf(service, endpoint string, now time.Time) string {
	s := d.services[service]
	if s == nil {
		return ""
	}
	return d.coordinator(service, s.ShardOf[endpoint], now).Address
}

// inShard reports whether an endpoint belongs to a shard of its service, numbered
// from 1. Every endpoint belongs to shard 0, the whole service.
func (d *directory) inShard(service, endpoint string, shard int) bool {
	s := d.services[service]
	if shard == 0 || s == nil {
		return true
	}
	if _, ok := s.Zones[shard-1]; !ok { // the asking host divides otherwise for the moment
		return s.ShardOf[endpoint] == s.numbers[(shard-1)%len(s.numbers)]
	}
	return s.ShardOf[endpoint] == shard-1
}

// shardCount returns the number of shards of a service.
func (d *directory) shardCount(service string) int {
	if s := d.services[service]; s != nil {
		return len(s.numbers)
	}
	return 1
}

// findTargets asks which coordinators may place a request of the service.
type findTargets struct {
	ring.Reply[targets]
	request Request
}

// targets is the response to findTargets.
type targets struct {
	coordinators []target
	// resting are the endpoints that want no requests of this host. If there are no
	// others, the first takes requests again after wait.
	resting []string
	wait    time.Duration
	// evacuated are the availability zones that are being emptied. refusal is set if
	// no endpoint of the service is left for the request.
	evacuated []core.AvailabilityZone
	refusal   *core.Refusal
}

func (m findTargets) handle(d *Duty, now time.Time) {
	found := targets{coordinators: d.directory.targets(m.request, d.maxWait(m.request), d.isZoneOpen, now)}
	found.resting, found.wait = d.resting(m.request.Service, now)
	found.evacuated, found.refusal = d.evacuations.Zones(), d.noneLeft(m.request.Service, m.request.AllowedRegions)
	m.Send(found)
}

// unresponsive reports that a coordinator did not respond.
type unresponsive struct{ address string }

func (m unresponsive) handle(d *Duty, now time.Time) {
	d.directory.retryAt[m.address] = now.Add(unresponsiveBackoff)
}
