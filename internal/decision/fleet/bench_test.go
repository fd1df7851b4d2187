package fleet

import (
	"fmt"
	"testing"
)

// sizes are pairs of hosts and endpoints.
var sizes = [][2]int{{7, 12}, {90, 60}, {295, 160}, {380, 720}}

// BenchmarkHostChange measures what one change of a host costs each host: the new
// ring, its home shard, and the order of one shard.
func BenchmarkHostChange(b *testing.B) {
	for _, size := range sizes {
		hosts := newHosts(size[0], equal)
		shards := ShardCount(size[0], size[1])
		b.Run(fmt.Sprintf("hosts=%d/endpoints=%d", size[0], size[1]), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				ring := NewRing(hosts)
				_ = Partition(ring.Names(), shards)["host-1"]
				_ = ring.Order("service", 0)
			}
		})
	}
}

// BenchmarkEndpointChange measures what one endpoint that comes or goes costs each
// host.
func BenchmarkEndpointChange(b *testing.B) {
	for _, size := range sizes {
		var endpoints []string
		for i := range size[1] {
			endpoints = append(endpoints, fmt.Sprint("i-", i))
		}
		shards := ShardCount(size[0], size[1])
		b.Run(fmt.Sprintf("hosts=%d/endpoints=%d", size[0], size[1]), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_ = Partition(endpoints, shards)
			}
		})
	}
}
