// Package facts merges the facts that processes exchange by gossip. For each
// kind and key the fact with the highest rank wins. Merging is commutative and
// idempotent, so processes that received the same facts, in any order and any
// number of times, converge to the same state.
package facts

import (
	"bytes"
	"cmp"
	"math"
	"slices"
	"time"

	"kingcupcourse/internal/message"
)

// ID identifies the subject of a fact.
type ID struct {
	Kind message.FactKind
	Key  string
}

// Store holds the fact with the highest rank for each ID. It is owned by one
// duty and not safe for concurrent use.
type Store struct {
	entries      map[ID]entry
	bucketHashes [Buckets]uint64
}

// entry is a fact with the local time at which its rank last rose.
type entry struct {
	fact         message.Fact
	rankRaisedAt time.Time
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{entries: map[ID]entry{}} }

// Merge stores the incoming facts that have not expired and take precedence
// over the stored ones, and returns them.
func (s *Store) Merge(incoming []message.Fact, now time.Time) []message.Fact {
	var merged []message.Fact
	for _, fact := range incoming {
		id := ID{fact.Kind, fact.Key}
		current, known := s.entries[id]
		if expired(fact, now) || (known && comparePrecedence(fact, current.fact) <= 0) {
			continue
		}
		if known {
			s.toggleHash(current.fact)
		}
		s.toggleHash(fact)
		s.entries[id] = entry{fact: fact, rankRaisedAt: now}
		merged = append(merged, fact)
	}
	return merged
}

// Expire removes the facts that have expired and returns them.
func (s *Store) Expire(now time.Time) []message.Fact {
	var removed []message.Fact
	for id, e := range s.entries {
		if expired(e.fact, now) {
			s.toggleHash(e.fact)
			delete(s.entries, id)
			removed = append(removed, e.fact)
		}
	}
	return removed
}

// Len returns the number of facts.
func (s *Store) Len() int { return len(s.entries) }

// Get returns the fact with the given kind and key.
func (s *Store) Get(kind message.FactKind, key string) (message.Fact, bool) {
	e, ok := s.entries[ID{kind, key}]
	return e.fact, ok
}

// RankRaisedAt returns the local time at which the rank of a fact last rose,
// zero if there is no such fact.
func (s *Store) RankRaisedAt(kind message.FactKind, key string) time.Time {
	return s.entries[ID{kind, key}].rankRaisedAt
}

// All returns all facts, ordered by kind and key.
func (s *Store) All() []message.Fact {
	all := make([]message.Fact, 0, len(s.entries))
	for _, e := range s.entries {
		all = append(all, e.fact)
	}
	slices.SortFunc(all, compareIDs)
	return all
}

func compareIDs(a, b message.Fact) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Key, b.Key))
}

// comparePrecedence orders two facts with the same ID by rank, then by expiry,
// then by the bytes of the value.
func comparePrecedence(a, b message.Fact) int {
	return cmp.Or(
		cmp.Compare(a.Rank, b.Rank),
		cmp.Compare(expiry(a), expiry(b)),
		bytes.Compare(a.Value, b.Value))
}

func expiry(fact message.Fact) int64 {
	if fact.ExpiresUnixMS == 0 {
		return math.MaxInt64
	}
	return fact.ExpiresUnixMS
}

func expired(fact message.Fact, now time.Time) bool {
	return expiry(fact) <= now.UnixMilli()
}
