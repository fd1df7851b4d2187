package platform

import (
	"net/http"
	"sync/atomic"
)

// eraShift is the position of the store's era in the revisions of a Client.
//
// A store that comes back from a copy of its state has lost the writes since, and gives out
// their revisions again; its era rises. With the era in its upper bits, a revision is above
// all those of earlier eras, and none means two states.
const eraShift = 44

// inEra returns a revision of the store with its era. Zero stands for no object.
func inEra(era, revision uint64) uint64 {
	if revision == 0 {
		return 0
	}
	return era<<eraShift | revision
}

func eraOf(revision uint64) uint64 { return revision >> eraShift }

// storeRevision returns a revision as the store knows it.
func storeRevision(revision uint64) uint64 { return revision & (1<<eraShift - 1) }

// lastEra is the last era that answers have named. Clients of one store share it.
type lastEra struct{ atomic.Uint64 }

// observe returns the era of an answer, the last one if it names none.
func (l *lastEra) observe(dialect Dialect, header http.Header) uint64 {
	era := dialect.Era(header)
	if era == 0 {
		return l.Load()
	}
	for known := l.Load(); era > known && !l.CompareAndSwap(known, era); known = l.Load() {
	}
	return era
}

// isOver reports whether a revision is of an earlier era than the last one.
func (l *lastEra) isOver(revision uint64) bool { return revision != 0 && eraOf(revision) < l.Load() }

// answer is the body of a successful answer, with the store's era.
type answer struct {
	body []byte
	era  uint64
}

// addEra adds the era to the versions of objects.
func addEra(objects []Object, era uint64) {
	for i := range objects {
		objects[i].Version = inEra(era, objects[i].Version)
	}
}
