// Package journal decides how run-once requests are recorded, so that each
// runs at most once.
//
// The journal of a pool is a ring of slot objects in the platform. A slot
// holds one batch of records. The owner appends to the batch with the highest
// sequence number, the head, until it is large, and then overwrites the
// oldest slot with the next batch. Every write is conditional on the version
// that the owner last knew of the slot; since two owners always want to write
// the same slot next, the platform lets only one of them go on.
package journal

import (
	"time"

	"kingcupcourse/internal/core"
)

// Kind tells what a record says.
type Kind string

// The kinds of records.
const (
	// KindTakeover names a new owner.
	KindTakeover Kind = "takeover"
	// KindReserve allows one attempt of a key to be dispatched.
	KindReserve Kind = "reserve"
	// KindRelease takes a reservation back that was never dispatched.
	KindRelease Kind = "release"
	// KindFinish tells how the attempt of a key ended.
	KindFinish Kind = "finish"
)

// MaxResponseBytes is how large an answer may be to be kept for a resend.
const MaxResponseBytes = 4 << 10

// Record is one entry of the journal.
type Record struct {
	Kind Kind
	// Owner is set for KindTakeover.
	Owner                     string
	Key, Attempt, Fingerprint string
	Time                      time.Time
	// Result, Status, Answer and ContentType are set for KindFinish. Whole
	// tells that Answer is the whole answer.
	Result           core.Result
	Status           int
	ResponseBody     []byte
	ContentType      string
	ResponseComplete bool
	// fromEntry is set for a KindRelease that comes from the entry; it is not
	// recorded.
	fromEntry bool
}

// recordOverhead is about what a record takes besides its texts, in bytes.
const recordOverhead = 48

// size is about how many bytes the record takes in the platform. It depends
// on the record alone, so that all owners see the same size.
func (r *Record) size() int {
	return recordOverhead + len(r.Owner) + len(r.Key) + len(r.Attempt) + len(r.Fingerprint) +
		len(r.Result) + len(r.ResponseBody)*4/3 + len(r.ContentType)
}

// Batch is the value of one slot.
type Batch struct {
	// Seq is the number of the batch; it is in slot Seq modulo the slots.
	Seq uint64
	// Owner and WriteID name the write that made the batch what it is.
	Owner, WriteID string
	Records        []Record
}

func (b *Batch) size() int {
	total := 0
	for i := range b.Records {
		total += b.Records[i].size()
	}
	return total
}

// newest is the time of the newest record.
func (b *Batch) newest() time.Time {
	var newest time.Time
	for i := range b.Records {
		if b.Records[i].Time.After(newest) {
			newest = b.Records[i].Time
		}
	}
	return newest
}

// compact drops records that later records of the same batch make
// superfluous: a reservation that was finished, a reservation and its
// release, and all takeovers but the last.
func compact(records []Record) []Record {
	drop := make([]bool, len(records))
	reserved := map[string]int{}
	takeover := -1
	for i := range records {
		r := &records[i]
		at, known := reserved[r.Key]
		matches := known && records[at].Attempt == r.Attempt
		switch r.Kind {
		case KindTakeover:
			if takeover >= 0 {
				drop[takeover] = true
			}
			takeover = i
		case KindReserve:
			reserved[r.Key] = i
		case KindRelease:
			if matches {
				drop[at], drop[i] = true, true
				delete(reserved, r.Key)
			}
		case KindFinish:
			if matches {
				drop[at] = true
				delete(reserved, r.Key)
			}
		}
	}
	kept := make([]Record, 0, len(records))
	for i := range records {
		if !drop[i] {
			kept = append(kept, records[i])
		}
	}
	return kept
}
