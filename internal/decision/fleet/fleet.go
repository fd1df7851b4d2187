// Package fleet divides the work that hosts do for each other. Endpoints and
// limits are divided into shards, and each shard has an order of hosts of which
// the first that answers is its coordinator. The number of shards grows with the
// number of hosts, so that the work of a coordinator does not. All hosts with the
// same view of the fleet come to the same result without exchanging it.
package fleet

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"kingcupcourse/internal/core"
)

const (
	// hostsPerShard is how many hosts there are for each shard.
	hostsPerShard = 8
	// minMembersPerShard is the least number of members of a shard. A coordinator
	// needs a choice of endpoints.
	minMembersPerShard = 5
	// hostsPerCandidate is how many hosts there are, at the most, for each host
	// that is preferred as a coordinator.
	hostsPerCandidate = 12
)

// Host is a host of the fleet.
type Host struct {
	Name, Address    string
	AvailabilityZone core.AvailabilityZone
	// Processor is the processor time that the host may use, in cores.
	Processor float64
}

// ShardCount returns into how many shards the hosts divide their members, for
// example the endpoints of a service.
func ShardCount(hosts, members int) int {
	return max(1, min(hosts/hostsPerShard, members/minMembersPerShard))
}

// ShardOf returns the shard of a member that is chosen by its hash alone.
func ShardOf(member string, shards int) int {
	return int(xxhash.Sum64String(member) % uint64(max(1, shards)))
}

// Partition divides members into shards of equal size, by rendezvous hashing: each
// member goes to the shard that ranks highest for it and has room. A member that
// comes or goes moves few others.
func Partition(members []string, shards int) map[string]int {
	byHash := slices.SortedFunc(slices.Values(members), func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	capacity := (len(members) + shards - 1) / shards
	size, shardOf := make([]int, shards), make(map[string]int, len(members))
	for _, member := range byHash {
		best, highest := -1, uint64(0)
		for shard := range shards {
			rank := xxhash.Sum64String(member + "/" + strconv.Itoa(shard))
			if size[shard] < capacity && (best < 0 || rank > highest) {
				best, highest = shard, rank
			}
		}
		size[best]++
		shardOf[member] = best
	}
	return shardOf
}

// Ring orders hosts by their hash. The hosts with the most processor time are
// candidates, which come before all others in each order.
type Ring struct {
	candidates, others []Host
}

// NewRing returns the ring of the hosts.
func NewRing(hosts []Host) *Ring {
	sorted := slices.SortedFunc(slices.Values(hosts), func(a, b Host) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	least := candidateProcessor(hosts)
	r := &Ring{}
	for _, host := range sorted {
		if host.Processor >= least {
			r.candidates = append(r.candidates, host)
		} else {
			r.others = append(r.others, host)
		}
	}
	return r
}

// candidateProcessor returns the processor time from which a host is a candidate.
func candidateProcessor(hosts []Host) float64 {
	if len(hosts) == 0 {
		return 0
	}
	var processors []float64
	for _, host := range hosts {
		processors = append(processors, host.Processor)
	}
	slices.Sort(processors)
	return processors[len(processors)-(len(processors)+hostsPerCandidate-1)/hostsPerCandidate]
}

// Len returns the number of hosts.
func (r *Ring) Len() int { return len(r.candidates) + len(r.others) }

// Names returns the names of the hosts.
func (r *Ring) Names() []string {
	names := make([]string, 0, r.Len())
	for _, host := range slices.Concat(r.candidates, r.others) {
		names = append(names, host.Name)
	}
	return names
}

// Order returns the hosts in the order in which they coordinate a shard of key.
// Consecutive shards begin at consecutive candidates, so that each candidate
// coordinates about the same number of them.
func (r *Ring) Order(key string, shard int) []Host {
	return append(rotate(r.candidates, key, shard), rotate(r.others, key, shard)...)
}

// rotate returns the hosts beginning at the shard-th one after the hash of key.
func rotate(hosts []Host, key string, shard int) []Host {
	if len(hosts) == 0 {
		return nil
	}
	hash := xxhash.Sum64String(key)
	first, _ := slices.BinarySearchFunc(hosts, hash, func(host Host, hash uint64) int {
		return cmp.Compare(xxhash.Sum64String(host.Name), hash)
	})
	at := (first + shard) % len(hosts)
	return slices.Concat(hosts[at:], hosts[:at])
}
