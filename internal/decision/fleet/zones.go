package fleet

import (
	"cmp"
	"maps"
	"slices"

	"kingcupcourse/internal/core"
)

// minMembersPerZoneShard is the least number of members of a shard of one zone. It
// is higher than minMembersPerShard, so that the loss of a few members does not
// divide the zone anew.
const minMembersPerZoneShard = 6

// Member is a member of shards, for example an endpoint of a service.
type Member struct {
	Name string
	Zone core.AvailabilityZone
}

// Division is a division of members into shards. Shards are numbered from 0; the
// numbers need not be consecutive, so that a zone that gains or loses a shard
// leaves the numbers of the other zones as they are.
type Division struct {
	// ShardOf is the shard of each member.
	ShardOf map[string]int
	// Zones is the zone of each shard, empty for a shard of more than one.
	Zones map[int]core.AvailabilityZone
}

// Shards returns the numbers of the shards in ascending order.
func (d *Division) Shards() []int { return slices.Sorted(maps.Keys(d.Zones)) }

// Divide divides members into shards without regard to their zones.
func Divide(members []Member, hosts *Ring) *Division {
	count := ShardCount(hosts.Len(), len(members))
	division := &Division{ShardOf: Partition(names(members), count), Zones: map[int]core.AvailabilityZone{}}
	for shard := range count {
		division.Zones[shard] = ""
	}
	return division
}

// DivideByZone divides members into shards of one zone each. The members of zones
// that have too few for a shard share shards. If fewer than two zones have enough
// members, or the hosts need fewer shards than there are such zones, it divides
// them without regard to zones.
func DivideByZone(members []Member, hosts *Ring) *Division {
	byZone := map[core.AvailabilityZone][]Member{}
	for _, m := range members {
		byZone[m.Zone] = append(byZone[m.Zone], m)
	}
	large, rest := 0, []Member(nil)
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		if zone != "" && len(byZone[zone]) >= minMembersPerZoneShard {
			large++
			continue
		}
		rest = append(rest, byZone[zone]...)
		delete(byZone, zone)
	}
	if large < 2 || ShardCount(hosts.Len(), len(members)) < large {
		return Divide(members, hosts)
	}
	// The hosts' zones are numbered too, so that a zone that loses all its members
	// does not renumber the others.
	zones := hosts.zones()
	for zone := range byZone {
		if !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	division := &Division{ShardOf: map[string]int{}, Zones: map[int]core.AvailabilityZone{}}
	stride := len(zones) + 1
	for i, zone := range zones {
		division.add(byZone[zone], zoneShards(hosts, zone, len(byZone[zone])), i, stride, zone)
	}
	division.add(rest, ShardCount(hosts.Len(), len(rest)), len(zones), stride, "")
	return division
}

// zoneShards returns into how many shards a zone's members are divided.
func zoneShards(hosts *Ring, zone core.AvailabilityZone, members int) int {
	return max(1, min(len(hosts.InZone(zone))/hostsPerShard, members/minMembersPerZoneShard))
}

// add divides members into shards whose numbers are first, first+stride and so on.
func (d *Division) add(members []Member, count, first, stride int, zone core.AvailabilityZone) {
	if len(members) == 0 {
		return
	}
	for name, shard := range Partition(names(members), count) {
		number := first + shard*stride
		d.ShardOf[name], d.Zones[number] = number, zone
	}
}

// Home returns the home shard of a host: one of its own zone, or any shard if the
// zone has none.
func (d *Division) Home(self string, hosts *Ring) int {
	var own []int
	zone := hosts.zoneOf(self)
	for _, shard := range d.Shards() {
		if zone != "" && d.Zones[shard] == zone {
			own = append(own, shard)
		}
	}
	if len(own) > 0 {
		return own[Partition(hosts.InZone(zone), len(own))[self]]
	}
	all := d.Shards()
	return all[Partition(hosts.Names(), len(all))[self]]
}

// OrderInZone is Order with the hosts of a zone before the others of equal rank,
// so that a shard's requests and reports stay in its zone.
func (r *Ring) OrderInZone(key string, shard int, zone core.AvailabilityZone) []Host {
	order := r.Order(key, shard)
	if zone == "" {
		return order
	}
	distance := func(h Host) int {
		if h.AvailabilityZone == zone {
			return 0
		}
		return 1
	}
	byDistance := func(a, b Host) int { return cmp.Compare(distance(a), distance(b)) }
	slices.SortStableFunc(order[:len(r.candidates)], byDistance)
	slices.SortStableFunc(order[len(r.candidates):], byDistance)
	return order
}

// InZone returns the names of the hosts in a zone.
func (r *Ring) InZone(zone core.AvailabilityZone) []string {
	var found []string
	for _, host := range r.Hosts() {
		if host.AvailabilityZone == zone {
			found = append(found, host.Name)
		}
	}
	return found
}

func (r *Ring) zones() []core.AvailabilityZone {
	found := map[core.AvailabilityZone]bool{}
	for _, host := range r.Hosts() {
		if host.AvailabilityZone != "" {
			found[host.AvailabilityZone] = true
		}
	}
	return slices.Collect(maps.Keys(found))
}

func (r *Ring) zoneOf(name string) core.AvailabilityZone {
	for _, host := range r.Hosts() {
		if host.Name == name {
			return host.AvailabilityZone
		}
	}
	return ""
}

func names(members []Member) []string {
	found := make([]string, 0, len(members))
	for _, m := range members {
		found = append(found, m.Name)
	}
	return found
}
