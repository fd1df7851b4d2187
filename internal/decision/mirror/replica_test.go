package mirror

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// store is a history of changes, as the store has it.
type store struct{ history []Change[int] }

func (s *store) revision() uint64 { return uint64(len(s.history)) }

func (s *store) between(after, revision uint64) []Change[int] { return s.history[after:revision] }

// list returns the objects as of a revision.
func (s *store) list(revision uint64) []Change[int] {
	objects := map[string]Change[int]{}
	for _, change := range s.history[:revision] {
		if change.Deleted {
			delete(objects, change.Key)
		} else {
			objects[change.Key] = change
		}
	}
	return slices.Collect(maps.Values(objects))
}

func contents(r *Replica[int]) map[string]int {
	values := map[string]int{}
	for key, change := range r.objects {
		values[key] = change.Value
	}
	return values
}

// Guards against a copy that differs from the store, or goes back to an older
// state: a copy may learn from the store and from copies of any age, in any order,
// and always equals the store as of its revision.
func TestReplicaEqualsStoreAtItsRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{}
		copies := []*Replica[int]{NewReplica[int](), NewReplica[int](), NewReplica[int]()}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r := copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")]
			before := r.Revision()
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				s.history = append(s.history, Change[int]{Key: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"),
					Version: s.revision() + 1, Deleted: rapid.Bool().Draw(t, "deleted"), Value: len(s.history)})
			case 2:
				if !r.Listed() {
					r.Replace(s.list(s.revision()), s.revision())
					break
				}
				// The answer to a call may arrive after the copy has moved on.
				after := rapid.Uint64Range(0, r.Revision()).Draw(t, "after")
				revision := rapid.Uint64Range(after, s.revision()).Draw(t, "revision")
				r.Apply(s.between(after, revision), after, revision)
			case 3:
				revision := rapid.Uint64Range(0, s.revision()).Draw(t, "listed at")
				r.Replace(s.list(revision), revision)
			case 4:
				other := copies[rapid.IntRange(0, len(copies)-1).Draw(t, "upstream")]
				if !other.Listed() {
					break
				}
				changes, full := other.Since(r.Listed(), r.Revision())
				if full {
					r.Replace(changes, other.Revision())
				} else {
					r.Apply(changes, r.Revision(), other.Revision())
				}
			}
			if r.Revision() < before {
				t.Fatalf("revision %d after %d", r.Revision(), before)
			}
			want := map[string]int{}
			for _, object := range s.list(r.Revision()) {
				want[object.Key] = object.Value
			}
			if r.Listed() && !maps.Equal(contents(r), want) {
				t.Fatalf("copy %v, the store had %v at revision %d", contents(r), want, r.Revision())
			}
		}
	})
}

// A copy that lacks more changes than are logged gets all objects.
func TestReplicaSendsAllObjectsBeyondItsLog(t *testing.T) {
	s, r := &store{}, NewReplica[int]()
	r.Replace(nil, 0)
	for range maxLoggedChanges + 10 {
		revision := s.revision()
		s.history = append(s.history, Change[int]{Key: "a", Version: revision + 1, Value: int(revision)})
		r.Apply(s.between(revision, revision+1), revision, revision+1)
	}
	if changes, full := r.Since(true, 5); !full || len(changes) != 1 {
		t.Errorf("%d changes, full %v, want the only object", len(changes), full)
	}
	if changes, full := r.Since(true, r.Revision()-3); full || len(changes) != 3 {
		t.Errorf("%d changes, full %v, want the last 3", len(changes), full)
	}
}

// Guards against an upstream that was frozen and claims fresh state: it lacks a
// change that the host has. A revision that only other objects advanced does not
// make an upstream older.
func TestReplicaIsAheadOnlyByChanges(t *testing.T) {
	r := NewReplica[int]()
	r.Replace([]Change[int]{{Key: "a", Version: 3}}, 5)
	r.Apply(nil, 5, 9)
	if r.IsAhead(5) {
		t.Error("ahead of a copy that has all changes")
	}
	r.Apply([]Change[int]{{Key: "a", Version: 10}}, 9, 12)
	if !r.IsAhead(9) || r.IsAhead(10) {
		t.Error("a copy of revision 9 lacks the change of revision 10, one of revision 10 has it")
	}
}
