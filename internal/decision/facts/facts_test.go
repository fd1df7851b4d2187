package facts

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kingcupcourse/internal/message"
)

var now = time.UnixMilli(1_000)

func factGen() *rapid.Generator[message.Fact] {
	return rapid.Custom(func(t *rapid.T) message.Fact {
		return message.Fact{
			Kind:          rapid.SampledFrom([]message.FactKind{message.FactMember, message.FactMove}).Draw(t, "kind"),
			Key:           rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"),
			Rank:          rapid.Uint64Range(0, 4).Draw(t, "rank"),
			ExpiresUnixMS: rapid.SampledFrom([]int64{0, 999, 1_001, 2_000}).Draw(t, "expires"),
			Value:         []byte(rapid.SampledFrom([]string{"1", "2"}).Draw(t, "value")),
		}
	})
}

func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		facts := rapid.SliceOfN(factGen(), 0, 20).Draw(t, "facts")
		other := append(rapid.Permutation(facts).Draw(t, "order"), facts...)
		a, b := NewStore(), NewStore()
		a.Merge(facts, now)
		for _, fact := range other {
			b.Merge([]message.Fact{fact}, now)
		}
		if !reflect.DeepEqual(a.All(), b.All()) {
			t.Fatalf("the stores differ after merges in different orders:\n%v\n%v", a.All(), b.All())
		}
		if merged := a.Merge(facts, now); len(merged) > 0 {
			t.Fatalf("merging the same facts again changed %v", merged)
		}
	})
}

func TestRankNeverFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewStore()
		highest := map[ID]uint64{}
		for _, fact := range rapid.SliceOf(factGen()).Draw(t, "facts") {
			fact.ExpiresUnixMS = 0
			s.Merge([]message.Fact{fact}, now)
			id := ID{fact.Kind, fact.Key}
			highest[id] = max(highest[id], fact.Rank)
			if got, _ := s.Get(fact.Kind, fact.Key); got.Rank != highest[id] {
				t.Fatalf("%v has rank %d, want the highest merged rank %d", id, got.Rank, highest[id])
			}
		}
	})
}

// TestAntiEntropyConverges runs one exchange between two stores: bucket
// hashes, the digest of the differing buckets, the missing facts with the list
// of wanted ones, and the wanted facts. Both stores must then be equal.
func TestAntiEntropyConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewStore(), NewStore()
		a.Merge(rapid.SliceOf(factGen()).Draw(t, "a"), now)
		b.Merge(rapid.SliceOf(factGen()).Draw(t, "b"), now)
		equal := slices.Equal(a.Digest(allBuckets), b.Digest(allBuckets))
		if (a.Hash() == b.Hash()) != equal {
			t.Fatalf("stores equal: %v, but hashes are %d and %d", equal, a.Hash(), b.Hash())
		}
		buckets := a.DifferingBuckets(b.BucketHashes())
		digest := a.Digest(buckets)
		missing, wanted := b.Missing(buckets, digest, 100), b.Wanted(digest, 100)
		b.Merge(a.Requested(wanted), now)
		a.Merge(missing, now)
		if a.Hash() != b.Hash() || !slices.Equal(a.Digest(allBuckets), b.Digest(allBuckets)) {
			t.Fatalf("the stores differ after the exchange:\n%v\n%v", a.All(), b.All())
		}
	})
}

// allBuckets lists every bucket.
var allBuckets = func() (buckets []int) {
	for i := range Buckets {
		buckets = append(buckets, i)
	}
	return buckets
}()

func TestHashExcludesExpiredFacts(t *testing.T) {
	s := NewStore()
	s.Merge([]message.Fact{{Kind: message.FactPoison, Key: "f/e", Rank: 1, ExpiresUnixMS: 2_000}}, now)
	if s.Expire(time.UnixMilli(2_000)); s.Hash() != 0 {
		t.Fatal("the hash of an empty store is not zero")
	}
}

func TestExpiredFactsAreRemovedAndNotMergedAgain(t *testing.T) {
	s := NewStore()
	fact := message.Fact{Kind: message.FactPoison, Key: "f/e", Rank: 1, ExpiresUnixMS: 2_000}
	s.Merge([]message.Fact{fact}, now)
	later := time.UnixMilli(2_000)
	if removed := s.Expire(later); len(removed) != 1 {
		t.Fatalf("got expired facts %v, want one", removed)
	}
	if merged := s.Merge([]message.Fact{fact}, later); len(merged) != 0 {
		t.Fatalf("an expired fact was merged again: %v", merged)
	}
}
