package placement

import (
	"time"

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
	return &directory{self: self, ring: fleet.NewRing([]fleet.Host{{Name: self}}), services: map[string]*shards{},
		retryAt: map[string]time.Time{}}
}

// setHosts replaces the hosts of the fleet. The endpoints must be set again.
func (d *directory) setHosts(hosts []fleet.Host) { d.ring = fleet.NewRing(hosts) }

// setEndpoints replaces the endpoints by service.
func (d *directory) setEndpoints(services map[string][]*endpoint) {
	turns := map[string]int{}
	for service, s := range d.services {
		turns[service] = s.turn
	}
	clear(d.services)
	for service, endpoints := range services {
		d.divide(service, endpoints).turn = turns[service]
	}
}

// divide divides the endpoints of a service into shards.
func (d *directory) divide(service string, endpoints []*endpoint) *shards {
	names := make([]string, 0, len(endpoints))
	for _, e := range endpoints {
		names = append(names, e.Endpoint.Name)
	}
	s := &shards{count: fleet.ShardCount(d.ring.Len(), len(endpoints)), orders: map[int][]fleet.Host{}}
	s.shardOf = fleet.Partition(names, s.count)
	s.home = fleet.Partition(d.ring.Names(), s.count)[d.self]
	d.services[service] = s
	return s
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
	s := d.services[service]
	if s.orders[shard] == nil {
		s.orders[shard] = d.ring.Order(service, shard)
	}
	for _, host := range s.orders[shard] {
		switch {
		case host.Name == d.self:
			return ""
		case !now.Before(d.retryAt[host.Address]):
			return host.Address
		}
	}
	return ""
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
}

// targets is the response to findTargets.
type targets struct {
	coordinators []target
	// resting are the endpoints that want no requests of this host. If there are no
	// others, the first takes requests again after wait.
	resting []string
	wait    time.Duration
}

func (m findTargets) handle(d *Duty, now time.Time) {
	found := targets{coordinators: d.directory.targets(m.service, now)}
	found.resting, found.wait = d.resting(m.service, now)
	m.Send(found)
}

// unresponsive reports that a coordinator did not respond.
type unresponsive struct{ address string }

func (m unresponsive) handle(d *Duty, now time.Time) {
	d.directory.retryAt[m.address] = now.Add(unresponsiveBackoff)
}
