package facts

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"kingcupcourse/internal/message"
)

// Buckets is the number of hash buckets in which two stores are compared. A
// bucket holds the facts whose ID hashes to it.
const Buckets = 64

// Hash returns a hash of all IDs and ranks. Two stores with equal hashes hold
// the same IDs and ranks.
func (s *Store) Hash() uint64 {
	var hash uint64
	for _, bucket := range s.bucketHashes {
		hash ^= bucket
	}
	return hash
}

// BucketHashes returns the hash of each bucket.
func (s *Store) BucketHashes() []uint64 { return slices.Clone(s.bucketHashes[:]) }

// DifferingBuckets returns the buckets whose hashes differ from those of a
// remote store. It returns none unless there are exactly Buckets hashes.
func (s *Store) DifferingBuckets(remote []uint64) []int {
	if len(remote) != Buckets {
		return nil
	}
	var differing []int
	for i, hash := range remote {
		if hash != s.bucketHashes[i] {
			differing = append(differing, i)
		}
	}
	return differing
}

// Digest returns the IDs and ranks of the facts in the given buckets, ordered
// by kind and key.
func (s *Store) Digest(buckets []int) []message.FactDigest {
	var digest []message.FactDigest
	for _, fact := range s.inBuckets(buckets) {
		digest = append(digest, message.FactDigest{Kind: fact.Kind, Key: fact.Key, Rank: fact.Rank})
	}
	return digest
}

// Missing returns at most limit facts in the given buckets that are missing
// from the remote digest or have a lower rank there.
func (s *Store) Missing(buckets []int, digest []message.FactDigest, limit int) []message.Fact {
	remote := make(map[ID]uint64, len(digest))
	for _, d := range digest {
		remote[ID{d.Kind, d.Key}] = d.Rank
	}
	var missing []message.Fact
	for _, fact := range s.inBuckets(buckets) {
		if rank, known := remote[ID{fact.Kind, fact.Key}]; !known || rank < fact.Rank {
			missing = append(missing, fact)
		}
	}
	return missing[:min(limit, len(missing))]
}

// Wanted returns at most limit entries of a remote digest that are missing
// here or have a lower rank here. The returned rank is the local one, zero if
// the fact is missing.
func (s *Store) Wanted(digest []message.FactDigest, limit int) []message.FactDigest {
	var wanted []message.FactDigest
	for _, d := range digest {
		current, known := s.entries[ID{d.Kind, d.Key}]
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

// Requested returns the facts that a remote Wanted list asks for.
func (s *Store) Requested(requests []message.FactDigest) []message.Fact {
	var facts []message.Fact
	for _, d := range requests {
		if e, ok := s.entries[ID{d.Kind, d.Key}]; ok && e.fact.Rank >= d.Rank {
			facts = append(facts, e.fact)
		}
	}
	return facts
}

// inBuckets returns the facts in the given buckets, ordered by kind and key.
func (s *Store) inBuckets(buckets []int) []message.Fact {
	var selected [Buckets]bool
	for _, bucket := range buckets {
		if bucket >= 0 && bucket < Buckets {
			selected[bucket] = true
		}
	}
	var list []message.Fact
	for id, e := range s.entries {
		if selected[bucketOf(id)] {
			list = append(list, e.fact)
		}
	}
	slices.SortFunc(list, compareIDs)
	return list
}

// toggleHash adds a fact to the hash of its bucket, or removes it.
func (s *Store) toggleHash(fact message.Fact) {
	id := ID{fact.Kind, fact.Key}
	s.bucketHashes[bucketOf(id)] ^= hash(id, fact.Rank)
}

func bucketOf(id ID) int { return int(hash(id, 0) % Buckets) }

func hash(id ID, seed uint64) uint64 {
	digest := xxhash.NewWithSeed(seed)
	_, _ = digest.WriteString(string(id.Kind)) // a hash never returns an error
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(id.Key)
	return digest.Sum64()
}
