// Package membership decides which processes count as alive and which of
// them watch the platform on behalf of all.
package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcupcourse/internal/message"
)

const (
	// HeartbeatPeriod is how often a process renews its member fact.
	HeartbeatPeriod = time.Second
	// DeadAfter is how long a member may be unheard before it counts as
	// dead. It is measured on the listener's clock.
	DeadAfter = 3 * time.Second
	// ClockSkew is how far the clocks of two hosts may differ.
	ClockSkew = 5 * time.Second
	// FactLifetime is how long a member fact lasts after its heartbeat, so
	// that a dead member is not taken for alive by one who hears of it late.
	FactLifetime = DeadAfter + ClockSkew
	// MaxWatchers is how many processes hold watches on the platform. The
	// rest learn by gossip and poll slowly.
	MaxWatchers = 24
)

// Alive tells whether a member whose heartbeat last rose at heard is alive.
func Alive(heard, now time.Time) bool {
	return now.Sub(heard) < DeadAfter
}

// NextRank returns the rank of the next heartbeat: the time in Unix
// milliseconds, but always above the last one that anybody has seen, so that
// a process that restarts with an earlier clock is heard at once.
func NextRank(now time.Time, seen uint64) uint64 {
	return max(uint64(max(now.UnixMilli(), 0)), seen+1)
}

// Name returns the key of a member's fact.
func Name(m message.Member) string { return m.Host + "/" + string(m.Role) }

// Watches tells whether the member called self is one of the limit members
// that watch the platform. All processes that know the same members agree.
func Watches(self string, members []message.Member, limit int) bool {
	names := make([]string, 0, len(members))
	for _, m := range members {
		if !m.Leaving || Name(m) == self {
			names = append(names, Name(m))
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	at := slices.Index(names, self)
	return at >= 0 && at < limit
}
