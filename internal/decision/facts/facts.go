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
	held map[ID]held
}

// held is a fact and when its rank last rose here.
type held struct {
	fact   message.Fact
	raised time.Time
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{held: map[ID]held{}} }

// Merge takes in the facts that win over those held and have not expired, and
// returns them.
func (s *Store) Merge(incoming []message.Fact, now time.Time) []message.Fact {
	var news []message.Fact
	for _, fact := range incoming {
		id := ID{fact.Kind, fact.Key}
		current, known := s.held[id]
		if expired(fact, now) || (known && compare(fact, current.fact) <= 0) {
			continue
		}
		s.held[id] = held{fact: fact, raised: now}
		news = append(news, fact)
	}
	return news
}

// Get returns the fact held of an ID.
func (s *Store) Get(kind message.FactKind, key string) (message.Fact, bool) {
	h, ok := s.held[ID{kind, key}]
	return h.fact, ok
}

// RaisedAt returns when the rank of the fact held of an ID last rose here,
// zero if none is held.
func (s *Store) RaisedAt(kind message.FactKind, key string) time.Time {
	return s.held[ID{kind, key}].raised
}

// All returns the facts held, ordered by kind and key.
func (s *Store) All() []message.Fact {
	all := make([]message.Fact, 0, len(s.held))
	for _, h := range s.held {
		all = append(all, h.fact)
	}
	slices.SortFunc(all, func(a, b message.Fact) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Key, b.Key))
	})
	return all
}

// Expire removes the facts that have expired and returns them.
func (s *Store) Expire(now time.Time) []message.Fact {
	var gone []message.Fact
	for id, h := range s.held {
		if expired(h.fact, now) {
			delete(s.held, id)
			gone = append(gone, h.fact)
		}
	}
	return gone
}

// Digest returns the rank held of each fact, ordered by kind and key.
func (s *Store) Digest() []message.FactDigest {
	all := s.All()
	digest := make([]message.FactDigest, len(all))
	for i, fact := range all {
		digest[i] = message.FactDigest{Kind: fact.Kind, Key: fact.Key, Rank: fact.Rank}
	}
	return digest
}

// Missing returns the facts held that the sender of a digest lacks, at most
// limit. Facts about members come last, as the next heartbeat renews them.
func (s *Store) Missing(digest []message.FactDigest, limit int) []message.Fact {
	theirs := make(map[ID]uint64, len(digest))
	for _, d := range digest {
		theirs[ID{d.Kind, d.Key}] = d.Rank
	}
	var missing []message.Fact
	for id, h := range s.held {
		if rank, known := theirs[id]; !known || rank < h.fact.Rank {
			missing = append(missing, h.fact)
		}
	}
	slices.SortFunc(missing, byUrgency)
	return missing[:min(limit, len(missing))]
}

// Wanted returns the entries of a digest that the store lacks, with the rank
// held here, at most limit.
func (s *Store) Wanted(digest []message.FactDigest, limit int) []message.FactDigest {
	var wanted []message.FactDigest
	for _, d := range digest {
		current, known := s.held[ID{d.Kind, d.Key}]
		if known && current.fact.Rank >= d.Rank {
			continue
		}
		wanted = append(wanted, message.FactDigest{Kind: d.Kind, Key: d.Key, Rank: current.fact.Rank})
		if len(wanted) == limit {
			break
		}
	}
	return wanted
}

// Asked returns the facts held that a list of wanted entries asks for.
func (s *Store) Asked(wanted []message.FactDigest) []message.Fact {
	var asked []message.Fact
	for _, d := range wanted {
		if h, ok := s.held[ID{d.Kind, d.Key}]; ok && h.fact.Rank >= d.Rank {
			asked = append(asked, h.fact)
		}
	}
	return asked
}

// byUrgency orders facts about members after all others.
func byUrgency(a, b message.Fact) int {
	return cmp.Or(
		cmp.Compare(memberLast(a), memberLast(b)),
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Key, b.Key))
}

func memberLast(fact message.Fact) int {
	if fact.Kind == message.FactMember {
		return 1
	}
	return 0
}

// compare orders two facts of one ID: the rank decides, then the later
// expiry, then the value's bytes.
func compare(a, b message.Fact) int {
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
