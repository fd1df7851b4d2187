// Package membership decides which processes count as alive and which of them
// watch the platform on behalf of all.
//
// A process announces itself once. In each period every process probes one
// other process, chosen at random, and suspects it if it does not respond. The
// suspicion is spread to all processes; a suspect that is alive receives it
// and announces itself again. The load of a process does not grow with the
// number of processes.
package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcupcourse/internal/message"
)

const (
	// SuspectTimeout is how long a suspect may take to announce itself again
	// before it counts as dead, by the clock of the process that checks.
	SuspectTimeout = 2 * time.Second
	// SuspicionCooldown is how long a process that was wrongly suspected is
	// not suspected again by the same process. Without it, one broken path
	// between two processes would keep all others busy.
	SuspicionCooldown = 5 * time.Second
	// FactTTL is how long a member's fact is valid after its announcement.
	FactTTL = time.Hour
	// AnnounceInterval is how often a process renews its announcement, so
	// that its fact does not expire.
	AnnounceInterval = FactTTL / 3
	// MaxWatchers is how many processes hold watches on the platform. The
	// others learn of changes by gossip and poll at a low rate.
	MaxWatchers = 24
)

// Alive reports whether a member counts as alive. raisedAt is when the rank of
// its fact last increased.
func Alive(m message.Member, raisedAt, now time.Time) bool {
	return !m.Suspect || now.Sub(raisedAt) < SuspectTimeout
}

// NextRank returns the rank of the next announcement: the time in Unix
// milliseconds, but always above the highest rank seen, so that the
// announcement of a process that restarts with an earlier clock is accepted at
// once.
func NextRank(now time.Time, seen uint64) uint64 {
	return max(uint64(max(now.UnixMilli(), 0)), seen+1)
}

// SuspectFact returns the fact that marks a member as suspected. Its rank is
// one above that of the member's own announcement.
func SuspectFact(announced message.Fact, value []byte) message.Fact {
	suspicion := announced
	suspicion.Rank++
	suspicion.Value = value
	return suspicion
}

// Key returns the key of a member's fact.
func Key(m message.Member) string { return m.Host + "/" + string(m.Role) }

// IsWatcher reports whether the member with the key self is one of the limit
// members that watch the platform. All processes that know the same members
// reach the same result.
func IsWatcher(self string, members []message.Member, limit int) bool {
	names := make([]string, 0, len(members))
	for _, m := range members {
		if !m.Draining || Key(m) == self {
			names = append(names, Key(m))
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	at := slices.Index(names, self)
	return at >= 0 && at < limit
}
