package fleet

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func newHosts(count int, processor func(i int) float64) []Host {
	var hosts []Host
	for i := range count {
		hosts = append(hosts, Host{Name: fmt.Sprint("host-", i), Processor: processor(i)})
	}
	return hosts
}

func equal(int) float64 { return 1 }

// Guards against a coordinator whose share of the endpoints, hosts and shards
// grows with the fleet.
func TestWorkOfACoordinatorDoesNotGrowWithTheFleet(t *testing.T) {
	for _, count := range []int{7, 16, 61, 90, 380} {
		ring := NewRing(newHosts(count, func(i int) float64 {
			if i%11 == 0 {
				return 0.8
			}
			return 0.192
		}))
		shards, coordinated := ShardCount(count, 720), map[string]int{}
		for shard := range shards {
			coordinated[ring.Order("service", shard)[0].Name]++
		}
		members := map[int]int{}
		for _, shard := range Partition(ring.Names(), shards) {
			members[shard]++
		}
		for shard, size := range members {
			if size > 2*hostsPerShard {
				t.Errorf("%d hosts: %d belong to shard %d", count, size, shard)
			}
		}
		for name, shards := range coordinated {
			if shards > 2 {
				t.Errorf("%d hosts: %s coordinates %d shards", count, name, shards)
			}
		}
	}
}

// A host with little processor time coordinates nothing while there are enough
// others.
func TestSlowHostsAreLastInEachOrder(t *testing.T) {
	ring := NewRing(newHosts(90, func(i int) float64 {
		if i < 8 {
			return 0.8
		}
		return 0.192
	}))
	for shard := range 20 {
		order := ring.Order("service", shard)
		if len(order) != 90 || slices.ContainsFunc(order[:8], func(h Host) bool { return h.Processor < 0.8 }) {
			t.Errorf("order of shard %d begins with %v", shard, order[:8])
		}
	}
}

// A member that leaves moves few others to another shard, and shards stay of
// equal size.
func TestPartitionIsBalancedAndStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 120).Draw(t, "members")
		shards := rapid.IntRange(1, 12).Draw(t, "shards")
		members := NewRing(newHosts(count, equal)).Names()
		before := Partition(members, shards)
		size := make([]int, shards)
		for _, shard := range before {
			size[shard]++
		}
		if most, capacity := slices.Max(size), (count+shards-1)/shards; most > capacity {
			t.Fatalf("%d of %d members in one of %d shards", most, count, shards)
		}
		gone := rapid.IntRange(0, count-1).Draw(t, "gone")
		after := Partition(slices.Delete(slices.Clone(members), gone, gone+1), shards)
		moved := 0
		for member, shard := range after {
			if before[member] != shard {
				moved++
			}
		}
		if limit := max(shards*2, count/3); moved > limit {
			t.Fatalf("%d of %d members moved when one of them left, want at most %d", moved, count, limit)
		}
	})
}

func TestSingleShardInASmallFleet(t *testing.T) {
	if got := ShardCount(7, 18); got != 1 {
		t.Errorf("%d shards for 7 hosts, want 1", got)
	}
	if got := ShardCount(90, 4); got != 1 {
		t.Errorf("%d shards for 4 endpoints, want 1", got)
	}
}
