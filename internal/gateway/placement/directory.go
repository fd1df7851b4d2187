package placement

import (
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/fleet"
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
}

// directory knows which host coordinates which endpoints.
type directory struct {
	self     string
	ring     *fleet.Ring
	homes    map[int]int // home shard of this host, by number of shards
	services map[string]*shards
	retryAt  map[string]time.Time // by address, until when a coordinator is passed over
}

// shards is the division of a service's endpoints.
type shards struct {
	count   int
	shardOf map[string]int // by endpoint
	// home is the shard that this host asks first.
	home   int
	orders map[int][]fleet.Host // by shard
	// turn rotates over the shards that this host asks second.
	turn int
}

func newDirectory(self string) *directory {
	return &directory{self: self, ring: fleet.NewRing([]fleet.Host{{Name: self}}), homes: map[int]int{}, services: map[string]*shards{},
		retryAt: map[string]time.Time{}}
}

// setHosts replaces the hosts of the fleet. Endpoints move only if the number of
// shards changes.
func (d *directory) setHosts(hosts *fleet.Ring, services map[string][]*endpoint) {
	d.ring = hosts
	clear(d.homes)
	d.setEndpoints(services)
	for _, s := range d.services {
		s.home, s.orders = d.home(s.count), map[int][]fleet.Host{}
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
		count := fleet.ShardCount(d.ring.Len(), len(endpoints))
		known := d.services[service]
		if known != nil && known.count == count && known.contains(endpoints) {
			continue
		}
		divided := d.divide(endpoints, count)
		if known != nil {
			divided.turn = known.turn
		}
		d.services[service] = divided
	}
}

// contains reports whether these endpoints have been divided.
func (s *shards) contains(endpoints []*endpoint) bool {
	for _, e := range endpoints {
		if _, ok := s.shardOf[e.Endpoint.Name]; !ok {
			return false
		}
	}
	return len(endpoints) == len(s.shardOf)
}

// divide divides endpoints into shards.
func (d *directory) divide(endpoints []*endpoint, count int) *shards {
	names := make([]string, 0, len(endpoints))
	for _, e := range endpoints {
		names = append(names, e.Endpoint.Name)
	}
	return &shards{count: count, shardOf: fleet.Partition(names, count), home: d.home(count), orders: map[int][]fleet.Host{}}
}

// home returns this host's home among a number of shards.
func (d *directory) home(count int) int {
	home, known := d.homes[count]
	if !known {
		home = fleet.Partition(d.ring.Names(), count)[d.self]
		d.homes[count] = home
	}
	return home
}

// targets returns the coordinators to ask for a request of the service: that of
// the home shard, and that of another shard in case the first has no room.
func (d *directory) targets(service string, now time.Time) []target {
	s := d.services[service]
	if s == nil {
		return []target{{shard: 1}}
	}
	found := []target{{s.home + 1, d.coordinator(service, s.home, now)}}
	if s.count > 1 {
		s.turn = (s.turn + 1) % (s.count - 1)
		other := (s.home + 1 + s.turn) % s.count
		found = append(found, target{other + 1, d.coordinator(service, other, now)})
	}
	return found
}

// coordinator returns the address of a shard's coordinator, empty for this host.
func (d *directory) coordinator(service string, shard int, now time.Time) string {
	for _, host := range d.order(service, shard) {
		switch {
		case host.Name == d.self:
			return ""
		case !now.Before(d.retryAt[host.Address]):
			return host.Address
		}
	}
	return ""
}

// order returns the hosts in the order in which they coordinate a shard.
func (d *directory) order(service string, shard int) []fleet.Host {
	s := d.services[service]
	if s.orders[shard] == nil {
		s.orders[shard] = d.ring.Order(service, shard)
	}
	return s.orders[shard]
}

// owns reports whether this host is the first coordinator of an endpoint, not one
// that stands in for another.
func (d *directory) owns(service, endpoint string) bool {
	s := d.services[service]
	return s != nil && d.order(service, s.shardOf[endpoint])[0].Name == d.self
}

// coordinatorOf returns the address of the coordinator of an endpoint, empty for
// this host.
func (d *directory) coordinatorOf(service, endpoint string, now time.Time) string {
	s := d.services[service]
	if s == nil {
		return ""
	}
	return d.coordinator(service, s.shardOf[endpoint], now)
}

// inShard reports whether an endpoint belongs to a shard of its service, numbered
// from 1. Every endpoint belongs to shard 0, the whole service.
func (d *directory) inShard(service, endpoint string, shard int) bool {
	s := d.services[service]
	return shard == 0 || s == nil || s.shardOf[endpoint] == (shard-1)%s.count
}

// shardCount returns the number of shards of a service.
func (d *directory) shardCount(service string) int {
	if s := d.services[service]; s != nil {
		return s.count
	}
	return 1
}

// findTargets asks which coordinators may place a request of the service.
type findTargets struct {
	ring.Reply[targets]
	service string
	// regions are the only regions in which the request may be processed.
	regions []core.Region
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
	found := targets{coordinators: d.directory.targets(m.service, now)}
	found.resting, found.wait = d.resting(m.service, now)
	found.evacuated, found.refusal = d.evacuations.Zones(), d.noneLeft(m.service, m.regions)
	m.Send(found)
}

// unresponsive reports that a coordinator did not respond.
type unresponsive struct{ address string }

func (m unresponsive) handle(d *Duty, now time.Time) {
	d.directory.retryAt[m.address] = now.Add(unresponsiveBackoff)
}
