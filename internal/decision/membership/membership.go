// Package membership decides which processes count as alive and which of
// them watch the platform on behalf of all.
//
// A process announces itself once. Each process probes a random other one
// each period, and suspects it when it does not answer. The suspicion is told
// to all; the suspect, if it is alive, hears of it and announces itself again.
// The load of a process does not grow with the number of processes.
package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcupcourse/internal/message"
)

const (
	// SuspectTimeout is how long a suspect has to announce itself again
	// before it counts as dead. It is measured on the listener's clock.
	SuspectTimeout = 2 * time.Second
	// SuspicionCooldown is how long a process that was suspected in error is
	// not suspected again by the same process, so that one broken path
	// between two processes does not keep all others busy.
	SuspicionCooldown = 5 * time.Second
	// FactTTL is how long a member's fact lasts after it announced
	// itself.
	FactTTL = time.Hour
	// AnnounceInterval is how often a process announces itself unasked, so
	// that its fact does not expire.
	AnnounceInterval = FactTTL / 3
	// MaxWatchers is how many processes hold watches on the platform. The
	// rest learn by gossip and poll slowly.
	MaxWatchers = 24
)

// Alive tells whether a member counts as alive, whose fact's rank last rose at
// raised.
func Alive(m message.Member, raised, now time.Time) bool {
	return !m.Suspect || now.Sub(raised) < SuspectTimeout
}

// NextRank returns the rank of the next announcement: the time in Unix
// milliseconds, but always above the last one that anybody has seen, so that
// a process that restarts with an earlier clock is heard at once.
func NextRank(now time.Time, seen uint64) uint64 {
	return max(uint64(max(now.UnixMilli(), 0)), seen+1)
}

// SuspectFact returns the fact by which a member is suspected: one rank above
// its own announcement.
func SuspectFact(announced message.Fact, value []byte) message.Fact {
	suspicion := announced
	suspicion.Rank++
	suspicion.Value = value
	return suspicion
}

// Key returns the key of a member's fact.
func Key(m message.Member) string { return m.Host + "/" + string(m.Role) }

// IsWatcher tells whether the member called self is one of the limit members
// that watch the platform. All processes that know the same members agree.
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
