package fleet

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"kingcupcourse/internal/core"
)

func zoneName(i int) core.AvailabilityZone { return core.AvailabilityZone(fmt.Sprint("zone-", i)) }

// zonedHosts returns hosts spread evenly over the zones.
func zonedHosts(count, zones int) []Host {
	hosts := newHosts(count, func(i int) float64 { return 0.2 + 0.6*float64(min(1, (i+24)/24%8/7)) })
	for i := range hosts {
		hosts[i].AvailabilityZone = zoneName(i % zones)
	}
	return hosts
}

func zonedMembers(perZone ...int) []Member {
	var members []Member
	for zone, count := range perZone {
		for i := range count {
			members = append(members, Member{fmt.Sprintf("e-%d-%d", zone, i), zoneName(zone)})
		}
	}
	return members
}

// Guards against shards that mix zones, so that a host's home coordinator sends
// most of its requests to other zones.
func TestShardsAndHomesKeepToTheirZone(t *testing.T) {
	ring := NewRing(zonedHosts(128, 4))
	members := zonedMembers(23, 23, 22, 22)
	division := DivideByZone(members, ring)
	for _, m := range members {
		if zone := division.Zones[division.ShardOf[m.Name]]; zone != m.Zone {
			t.Errorf("%s of %s is in a shard of %q", m.Name, m.Zone, zone)
		}
	}
	homes := map[int]int{}
	for _, host := range ring.Hosts() {
		home := division.Home(host.Name, ring)
		if homes[home]++; division.Zones[home] != host.AvailabilityZone {
			t.Errorf("%s of %s has its home in %s", host.Name, host.AvailabilityZone, division.Zones[home])
		}
	}
	for _, shard := range division.Shards() {
		if homes[shard] == 0 || homes[shard] > 2*hostsPerShard {
			t.Errorf("shard %d is the home of %d hosts", shard, homes[shard])
		}
		if first := ring.OrderInZone("s", shard, division.Zones[shard])[0]; len(ring.candidates) >= 8 && first.AvailabilityZone != division.Zones[shard] {
			t.Errorf("shard %d of %s is coordinated from %s", shard, division.Zones[shard], first.AvailabilityZone)
		}
	}
}

// Guards against a fault in one zone that divides all zones anew: the coordinators
// of the others would lose their counts at the same moment.
func TestLossInAZoneLeavesTheOthersAlone(t *testing.T) {
	ring := NewRing(zonedHosts(128, 4))
	before := DivideByZone(zonedMembers(23, 23, 22, 22), ring)
	for _, left := range []int{0, 2, 8, 15} {
		after := DivideByZone(zonedMembers(23, left, 22, 22), ring)
		for name, shard := range before.ShardOf {
			if before.Zones[shard] != zoneName(1) && after.ShardOf[name] != shard {
				t.Errorf("%d endpoints left in zone 1: %s moved from shard %d to %d", left, name, shard, after.ShardOf[name])
			}
		}
	}
}

// Small services and small fleets are divided as without zones.
func TestSmallServicesKeepOneShard(t *testing.T) {
	for _, test := range []struct {
		hosts   int
		members []Member
	}{
		{128, zonedMembers(1, 1, 1, 1)}, {7, zonedMembers(9, 9)}, {128, zonedMembers(30, 3, 2)}, {60, zonedMembers(80)},
	} {
		ring := NewRing(zonedHosts(test.hosts, 4))
		got, want := DivideByZone(test.members, ring), Divide(test.members, ring)
		if !maps.Equal(got.ShardOf, want.ShardOf) {
			t.Errorf("%d hosts, %d members: divided by zone", test.hosts, len(test.members))
		}
	}
}

// Each member has a shard, no shard mixes zones that are large enough for their
// own, and the order of the lists does not matter.
func TestDivisionByZoneIsTheSameOnAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 5).Draw(t, "zones")
		hosts := zonedHosts(rapid.IntRange(1, 130).Draw(t, "hosts"), zones)
		members := zonedMembers(rapid.SliceOfN(rapid.IntRange(0, 30), 1, 6).Draw(t, "members")...)
		division := DivideByZone(members, NewRing(hosts))
		shuffled := DivideByZone(rapid.Permutation(members).Draw(t, "shuffled"), NewRing(rapid.Permutation(hosts).Draw(t, "hosts shuffled")))
		if !maps.Equal(division.ShardOf, shuffled.ShardOf) || !maps.Equal(division.Zones, shuffled.Zones) {
			t.Fatalf("%v, and %v in another order", division, shuffled)
		}
		for _, m := range members {
			shard, ok := division.ShardOf[m.Name]
			if zone := division.Zones[shard]; !ok || (zone != "" && zone != m.Zone) {
				t.Fatalf("%v is in shard %d of %q", m, shard, zone)
			}
		}
		if home := division.Home(hosts[0].Name, NewRing(hosts)); !slices.Contains(division.Shards(), home) {
			t.Fatalf("home %d is no shard of %v", home, division.Shards())
		}
	})
}
