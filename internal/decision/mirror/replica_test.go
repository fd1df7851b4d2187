package mirror

import (
	"fmt"
	"maps"
	"runtime"
	"slices"
	"testing"
	"weak"

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
	for key, object := range r.objects {
		if !object.Deleted {
			values[key] = object.Value
		}
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

// A copy that lacks more changes than are logged gets all objects, one that lacks
// fewer gets the latest change of each changed object, in the order of the changes.
func TestReplicaSendsAllObjectsBeyondItsLog(t *testing.T) {
	s, r := &store{}, NewReplica[int]()
	r.Replace(nil, 0)
	for i := range maxLoggedChanges + 10 {
		revision := s.revision()
		s.history = append(s.history, Change[int]{Key: string(rune('a' + i%4)), Version: revision + 1, Value: int(revision)})
		r.Apply(s.between(revision, revision+1), revision, revision+1)
	}
	if changes, full := r.Since(true, 5); !full || len(changes) != 4 {
		t.Errorf("%d changes, full %v, want the 4 objects", len(changes), full)
	}
	for lacking, want := range map[uint64][]Change[int]{3: s.history[len(s.history)-3:], 7: s.history[len(s.history)-4:]} {
		if changes, full := r.Since(true, r.Revision()-lacking); full || !slices.Equal(changes, want) {
			t.Errorf("lacking %d changes: %v, full %v, want %v", lacking, changes, full, want)
		}
	}
}

// Guards against copies that grow with each change: the log kept up to 1,024 old
// values of one large object, until hosts were killed for their memory.
func TestReplicaKeepsOneValueOfEachObject(t *testing.T) {
	type value [4096]byte
	r := NewReplica[*value]()
	r.Replace(nil, 0)
	var values []weak.Pointer[value]
	for i := range uint64(3 * maxLoggedChanges) {
		v := &value{}
		values = append(values, weak.Make(v))
		r.Apply([]Change[*value]{{Key: fmt.Sprint("key-", i%3), Version: i + 1, Value: v}}, i, i+1)
	}
	if kept := countReachable(values); kept != 3 {
		t.Errorf("%d values are kept of 3 objects", kept)
	}
	for i := range uint64(3) {
		revision := r.Revision()
		r.Apply([]Change[*value]{{Key: fmt.Sprint("key-", i), Version: revision + 1, Deleted: true, Value: &value{}}}, revision, revision+1)
	}
	if kept := countReachable(values); kept != 0 {
		t.Errorf("%d values are kept of deleted objects", kept)
	}
	if changes, full := r.Since(true, r.Revision()-3); full || len(changes) != 3 || !changes[0].Deleted || changes[0].Value != nil {
		t.Errorf("%v, full %v, want 3 deletions without values", changes, full)
	}
	runtime.KeepAlive(r)
}

func countReachable[T any](pointers []weak.Pointer[T]) (count int) {
	runtime.GC()
	for _, p := range pointers {
		if p.Value() != nil {
			count++
		}
	}
	return count
}

// Guards against copies that grow with each object that comes and goes, as the
// entries of endpoints do: a deletion is known as long as it is in the log.
func TestReplicaForgetsDeletedObjects(t *testing.T) {
	r := NewReplica[int]()
	r.Replace(nil, 0)
	for i := range uint64(2 * maxLoggedChanges) {
		key := fmt.Sprint("key-", i/2)
		r.Apply([]Change[int]{{Key: key, Version: i + 1, Deleted: i%2 == 1}}, i, i+1)
	}
	if len(r.objects) > maxLoggedChanges || len(r.log) > maxLoggedChanges {
		t.Errorf("%d objects and %d changes are known, none of %d objects exists", len(r.objects), len(r.log), maxLoggedChanges)
	}
	if changes, full := r.Since(true, 3); !full || len(changes) != 0 {
		t.Errorf("%v, full %v, want no objects", changes, full)
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
