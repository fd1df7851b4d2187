// Package ownership decides which scheduler owns a pool shard. All processes
// that know the same live members compute the same owner.
package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/message"
)

// Shard is the unit of ownership: one pool in one region. All tiers of a shard
// share one queue, so that a request is never served before one of a higher
// tier that waits in another queue.
type Shard struct {
	Pool   string
	Region core.Region
}

// RankSchedulers returns the live schedulers of the shard's region in the order
// of rendezvous hashing, the owner first, without draining members. The relative
// order of the others does not change when a member joins or leaves.
func RankSchedulers(shard Shard, members []message.Member) []message.Member {
	type scored struct {
		member message.Member
		score  uint64
	}
	var ranked []scored
	for _, m := range members {
		if m.Role != message.RoleScheduler || m.Draining || m.Region != shard.Region {
			continue
		}
		score := xxhash.Sum64String(string(shard.Region) + "/" + shard.Pool + "/" + m.Host)
		ranked = append(ranked, scored{m, score})
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.Host, b.member.Host))
	})
	out := make([]message.Member, len(ranked))
	for i, s := range ranked {
		out[i] = s.member
	}
	return out
}
