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
		heard := rapid.SliceOfN(factGen(), 0, 20).Draw(t, "facts")
		other := append(rapid.Permutation(heard).Draw(t, "order"), heard...)
		a, b := NewStore(), NewStore()
		a.Merge(heard, now)
		for _, fact := range other {
			b.Merge([]message.Fact{fact}, now)
		}
		if !reflect.DeepEqual(a.All(), b.All()) {
			t.Fatalf("%v\n%v", a.All(), b.All())
		}
		if news := a.Merge(heard, now); len(news) > 0 {
			t.Fatalf("merging again changed %v", news)
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
				t.Fatalf("%v is at rank %d, was at %d", id, got.Rank, highest[id])
			}
		}
	})
}

// TestAntiEntropyConverges checks the messages of a comparison: the hashes of
// the buckets, the digest of those that differ, the answer with what the asker
// lacks and what is wanted, and the wanted.
func TestAntiEntropyConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewStore(), NewStore()
		a.Merge(rapid.SliceOf(factGen()).Draw(t, "a"), now)
		b.Merge(rapid.SliceOf(factGen()).Draw(t, "b"), now)
		equal := slices.Equal(a.Digest(allBuckets), b.Digest(allBuckets))
		if (a.Hash() == b.Hash()) != equal {
			t.Fatalf("equal %v, hashes %d and %d", equal, a.Hash(), b.Hash())
		}
		scope := a.DifferingBuckets(b.BucketHashes())
		digest := a.Digest(scope)
		missing, wanted := b.Missing(scope, digest, 100), b.Wanted(digest, 100)
		b.Merge(a.Requested(wanted), now)
		a.Merge(missing, now)
		if a.Hash() != b.Hash() || !slices.Equal(a.Digest(allBuckets), b.Digest(allBuckets)) {
			t.Fatalf("%v\n%v", a.All(), b.All())
		}
	})
}

// allBuckets is the scope of all buckets.
var allBuckets = func() (scope []int) {
	for i := range Buckets {
		scope = append(scope, i)
	}
	return scope
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
	if gone := s.Expire(later); len(gone) != 1 {
		t.Fatalf("expired %v", gone)
	}
	if news := s.Merge([]message.Fact{fact}, later); len(news) != 0 {
		t.Fatalf("an expired fact came back: %v", news)
	}
}
