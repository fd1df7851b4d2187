// Package fleet divides the work that hosts do for each other. Endpoints and
// limits are divided into shards, and each shard has an order of hosts of which
// the first that answers is its coordinator. The number of shards grows with the
// number of hosts, so that the work of a coordinator does not. All hosts with the
// same view of the fleet come to the same result without exchanging it.
package fleet

import (
	"cmp"
	"slices"

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
	// that is preferred as a coordinator. Such a host coordinates a few shards.
	hostsPerCandidate = 24
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
	sorted := make([]hashed, 0, len(members))
	for _, member := range members {
		sorted = append(sorted, hashed{member, xxhash.Sum64String(member)})
	}
	slices.SortFunc(sorted, hashed.compare)
	capacity := (len(members) + shards - 1) / shards
	shardHashes := make([]uint64, shards)
	for shard := range shardHashes {
		shardHashes[shard] = mix(uint64(shard) + 1)
	}
	size, shardOf := make([]int, shards), make(map[string]int, len(members))
	for _, member := range sorted {
		best, highest := -1, uint64(0)
		for shard, hash := range shardHashes {
			if size[shard] == capacity {
				continue
			}
			if rank := mix(member.hash ^ hash); best < 0 || rank > highest {
				best, highest = shard, rank
			}
		}
		size[best]++
		shardOf[member.name] = best
	}
	return shardOf
}

// hashed is a name with its hash.
type hashed struct {
	name string
	hash uint64
}

func (h hashed) compare(other hashed) int {
	return cmp.Or(cmp.Compare(h.hash, other.hash), cmp.Compare(h.name, other.name))
}

// mix spreads the bits of a number. It is the finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Ring orders hosts by their hash. The hosts with the most processor time are
// candidates, which come before all others in each order. A Ring does not change
// and may be shared.
type Ring struct {
	candidates, others []ringHost
}

type ringHost struct {
	Host
	hash uint64
}

// NewRing returns the ring of the hosts.
func NewRing(hosts []Host) *Ring {
	sorted := make([]ringHost, 0, len(hosts))
	for _, host := range hosts {
		sorted = append(sorted, ringHost{host, xxhash.Sum64String(host.Name)})
	}
	slices.SortFunc(sorted, func(a, b ringHost) int {
		return hashed{a.Name, a.hash}.compare(hashed{b.Name, b.hash})
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

// Hosts returns the hosts.
func (r *Ring) Hosts() []Host {
	hosts := make([]Host, 0, r.Len())
	for _, host := range r.candidates {
		hosts = append(hosts, host.Host)
	}
	for _, host := range r.others {
		hosts = append(hosts, host.Host)
	}
	return hosts
}

// Names returns the names of the hosts.
func (r *Ring) Names() []string {
	names := make([]string, 0, r.Len())
	for _, host := range r.Hosts() {
		names = append(names, host.Name)
	}
	return names
}

// Order returns the hosts in the order in which they coordinate a shard of key.
// Consecutive shards begin at consecutive candidates, so that each candidate
// coordinates about the same number of them.
func (r *Ring) Order(key string, shard int) []Host {
	order := make([]Host, 0, r.Len())
	hash := xxhash.Sum64String(key)
	return appendRotated(appendRotated(order, r.candidates, hash, shard), r.others, hash, shard)
}

// appendRotated appends the hosts beginning at the shard-th one after the hash.
func appendRotated(order []Host, hosts []ringHost, hash uint64, shard int) []Host {
	first, _ := slices.BinarySearchFunc(hosts, hash, func(host ringHost, hash uint64) int {
		return cmp.Compare(host.hash, hash)
	})
	for i := range hosts {
		order = append(order, hosts[(first+shard+i)%len(hosts)].Host)
	}
	return order
}
