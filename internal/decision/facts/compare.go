package facts

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"kingcupcourse/internal/message"
)

// Buckets is the number of parts in which two stores are compared. A part
// holds the facts whose ID hashes to it.
const Buckets = 64

// Hash returns a hash of the IDs and ranks held. Two stores with equal hashes
// hold the same ranks.
func (s *Store) Hash() uint64 {
	var hash uint64
	for _, bucket := range s.bucketHashes {
		hash ^= bucket
	}
	return hash
}

// BucketHashes returns the hash of each bucket.
func (s *Store) BucketHashes() []uint64 { return slices.Clone(s.bucketHashes[:]) }

// DifferingBuckets returns the buckets whose hashes differ from those of another
// store. It returns none if there are not Buckets hashes.
func (s *Store) DifferingBuckets(theirs []uint64) []int {
	if len(theirs) != Buckets {
		return nil
	}
	var differing []int
	for i, hash := range theirs {
		if hash != s.bucketHashes[i] {
			differing = append(differing, i)
		}
	}
	return differing
}

// Digest returns the rank held of each fact in the buckets of the scope,
// ordered by kind and key.
func (s *Store) Digest(scope []int) []message.FactDigest {
	var digest []message.FactDigest
	for _, fact := range s.inBuckets(scope) {
		digest = append(digest, message.FactDigest{Kind: fact.Kind, Key: fact.Key, Rank: fact.Rank})
	}
	return digest
}

// Missing returns the facts held in the buckets of the scope that the sender
// of their digest lacks, at most limit.
func (s *Store) Missing(scope []int, digest []message.FactDigest, limit int) []message.Fact {
	theirs := make(map[ID]uint64, len(digest))
	for _, d := range digest {
		theirs[ID{d.Kind, d.Key}] = d.Rank
	}
	var missing []message.Fact
	for _, fact := range s.inBuckets(scope) {
		if rank, known := theirs[ID{fact.Kind, fact.Key}]; !known || rank < fact.Rank {
			missing = append(missing, fact)
		}
	}
	return missing[:min(limit, len(missing))]
}

// Wanted returns the entries of a digest that the store lacks, with the rank
// held here, at most limit.
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

// Requested returns the facts held that a list of wanted entries asks for.
func (s *Store) Requested(wanted []message.FactDigest) []message.Fact {
	var asked []message.Fact
	for _, d := range wanted {
		if h, ok := s.entries[ID{d.Kind, d.Key}]; ok && h.fact.Rank >= d.Rank {
			asked = append(asked, h.fact)
		}
	}
	return asked
}

// inBuckets returns the facts held in some buckets, ordered by kind and key.
func (s *Store) inBuckets(scope []int) []message.Fact {
	var in [Buckets]bool
	for _, bucket := range scope {
		if bucket >= 0 && bucket < Buckets {
			in[bucket] = true
		}
	}
	var list []message.Fact
	for id, h := range s.entries {
		if in[bucketOf(id)] {
			list = append(list, h.fact)
		}
	}
	slices.SortFunc(list, compareIDs)
	return list
}

// toggleHash adds a fact to the hash of its bucket, or takes it out.
func (s *Store) toggleHash(fact message.Fact) {
	id := ID{fact.Kind, fact.Key}
	s.bucketHashes[bucketOf(id)] ^= hash(id, fact.Rank)
}

func bucketOf(id ID) int { return int(hash(id, 0) % Buckets) }

func hash(id ID, seed uint64) uint64 {
	digest := xxhash.NewWithSeed(seed)
	_, _ = digest.WriteString(string(id.Kind)) // never fails
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(id.Key)
	return digest.Sum64()
}
