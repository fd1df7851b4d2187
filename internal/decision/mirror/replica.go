// Package mirror decides how the hosts of a fleet learn of changes in the store.
// If every host watched the store, each change would be answered once for each
// host, and each host that starts would wake all others: the calls would grow
// with the square of the fleet. In a large fleet a few hosts read the store, and
// the others keep copies of what these know.
package mirror

import "maps"

// maxLoggedChanges bounds the log of a replica. A copy that lacks more changes
// gets all objects.
const maxLoggedChanges = 1024

// Change is the latest state of an object.
type Change[T any] struct {
	Key string
	// Version is the store's revision at the object's last change.
	Version uint64
	Deleted bool
	// Value is the zero value if the object was deleted.
	Value T
}

// Replica is a copy of the objects under one prefix as of a revision of the
// store. It knows which objects changed lately, so that it can tell another copy
// what that lacks. It keeps one value of each object, whatever the number of
// changes. The zero value is not usable; see NewReplica.
type Replica[T any] struct {
	listed   bool
	revision uint64
	// lastChange is the highest version of an object that the copy has seen.
	lastChange uint64
	// objects holds the objects, and the deletions that are in the log.
	objects map[string]entry[T]
	// log names the objects that changed after the revision logStart, in the order
	// of the changes. An object is named once for each change.
	log      []loggedChange
	logStart uint64
	// changes counts the changes that were logged.
	changes uint64
}

// entry is the latest state of an object.
type entry[T any] struct {
	Change[T]
	// number is that of the logged change that led to the state, zero for none.
	number uint64
}

// loggedChange is a change in the log. Its number tells it from other changes of the
// object.
type loggedChange struct {
	key    string
	number uint64
	// revision is that of the copy after the change.
	revision uint64
}

// NewReplica returns a replica without a list of the objects.
func NewReplica[T any]() *Replica[T] { return &Replica[T]{objects: map[string]entry[T]{}} }

// Listed reports whether the replica has a list of the objects.
func (r *Replica[T]) Listed() bool { return r.listed }

// Revision returns the store's revision up to which the copy has all changes.
func (r *Replica[T]) Revision() uint64 { return r.revision }

// IsAhead reports whether the copy has a change that a copy as of the given
// revision lacks.
func (r *Replica[T]) IsAhead(revision uint64) bool { return r.lastChange > revision }

// Replace replaces the copy by a list of all objects as of a revision. It returns
// false, and changes nothing, if the copy is newer than the list.
func (r *Replica[T]) Replace(all []Change[T], revision uint64) bool {
	if r.listed && revision < r.revision {
		return false
	}
	r.listed, r.revision = true, revision
	r.log, r.logStart = nil, revision
	clear(r.objects)
	for _, object := range all {
		r.objects[object.Key] = entry[T]{Change: object}
		r.lastChange = max(r.lastChange, object.Version)
	}
	return true
}

// Apply applies all changes after one revision up to another. It returns false,
// and changes nothing, if the copy lacks earlier changes or has all of these.
func (r *Replica[T]) Apply(changes []Change[T], after, revision uint64) bool {
	if !r.listed || after > r.revision || revision <= r.revision {
		return false
	}
	r.revision = revision
	for _, change := range changes {
		r.lastChange = max(r.lastChange, change.Version)
		if change.Deleted {
			change = Change[T]{Key: change.Key, Version: change.Version, Deleted: true}
		}
		r.changes++
		r.objects[change.Key] = entry[T]{change, r.changes}
		r.log = append(r.log, loggedChange{change.Key, r.changes, revision})
	}
	r.trimLog()
	return true
}

// trimLog drops the oldest changes beyond the bound, all those of a revision
// together, and the deletions that only these changes named.
func (r *Replica[T]) trimLog() {
	dropped := len(r.log) - maxLoggedChanges
	if dropped <= 0 {
		return
	}
	for dropped < len(r.log) && r.log[dropped].revision == r.log[dropped-1].revision {
		dropped++
	}
	for _, logged := range r.log[:dropped] {
		if object := r.objects[logged.key]; object.Deleted && object.number == logged.number {
			delete(r.objects, logged.key)
		}
	}
	r.logStart = r.log[dropped-1].revision
	r.log = append([]loggedChange(nil), r.log[dropped:]...)
}

// HasNews reports whether a copy as of the revision lacks something. A copy that
// has no list yet lacks everything.
func (r *Replica[T]) HasNews(listed bool, revision uint64) bool {
	if !r.listed || (listed && revision >= r.revision) {
		return false
	}
	return !listed || revision < r.logStart || (len(r.log) > 0 && r.log[len(r.log)-1].revision > revision)
}

// Since returns what a copy as of the revision lacks: the latest change of each
// object that changed, in the order of the changes, or all objects if full is set.
func (r *Replica[T]) Since(listed bool, revision uint64) (changes []Change[T], full bool) {
	if !r.HasNews(listed, revision) {
		return nil, false
	}
	if !listed || revision < r.logStart {
		for object := range maps.Values(r.objects) {
			if !object.Deleted {
				changes = append(changes, object.Change)
			}
		}
		return changes, true
	}
	for _, logged := range r.log {
		if object := r.objects[logged.key]; logged.revision > revision && object.number == logged.number {
			changes = append(changes, object.Change)
		}
	}
	return changes, false
}
