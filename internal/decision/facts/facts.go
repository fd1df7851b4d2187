// Package facts decides which of the facts that processes tell each other
// are kept. For one kind and key the fact with the highest rank wins, so that
// processes that have heard the same facts, in any order and however often,
// hold the same ones.
package facts

import (
	"bytes"
	"cmp"
	"math"
	"slices"
	"time"

	"kingcupcourse/internal/message"
)

// ID names what a fact is about.
type ID struct {
	Kind message.FactKind
	Key  string
}

// Store holds the highest fact of each ID. It is owned by one duty.
type Store struct {
	entries      map[ID]entry
	bucketHashes [Buckets]uint64
}

// entry is a fact and when its rank last rose here.
type entry struct {
	fact         message.Fact
	rankRaisedAt time.Time
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{entries: map[ID]entry{}} }

// Merge takes in the facts that win over those held and have not expired, and
// returns them.
func (s *Store) Merge(incoming []message.Fact, now time.Time) []message.Fact {
	var news []message.Fact
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
		news = append(news, fact)
	}
	return news
}

// Expire removes the facts that have expired and returns them.
func (s *Store) Expire(now time.Time) []message.Fact {
	var gone []message.Fact
	for id, h := range s.entries {
		if expired(h.fact, now) {
			s.toggleHash(h.fact)
			delete(s.entries, id)
			gone = append(gone, h.fact)
		}
	}
	return gone
}

// Len returns how many facts are held.
func (s *Store) Len() int { return len(s.entries) }

// Get returns the fact held of an ID.
func (s *Store) Get(kind message.FactKind, key string) (message.Fact, bool) {
	h, ok := s.entries[ID{kind, key}]
	return h.fact, ok
}

// RankRaisedAt returns when the rank of the fact held of an ID last rose here,
// zero if none is held.
func (s *Store) RankRaisedAt(kind message.FactKind, key string) time.Time {
	return s.entries[ID{kind, key}].rankRaisedAt
}

// All returns the facts held, ordered by kind and key.
func (s *Store) All() []message.Fact {
	all := make([]message.Fact, 0, len(s.entries))
	for _, h := range s.entries {
		all = append(all, h.fact)
	}
	slices.SortFunc(all, compareIDs)
	return all
}

func compareIDs(a, b message.Fact) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Key, b.Key))
}

// comparePrecedence orders two facts of one ID: the rank decides, then the later
// expiry, then the value's bytes.
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
