// Package journal records run-once requests so that each runs at most once.
//
// The journal of a pool is a circular log of slot objects in the platform. A
// slot holds one batch of records. The owner appends to the batch with the
// highest sequence number, the head, until the batch reaches its size limit,
// and then overwrites the oldest slot with the next batch. Every write is
// conditional on the slot version that the owner last read or wrote. Two
// competing owners always write the same slot next, so only one of them can
// succeed.
package journal

import (
	"time"

	"kingcupcourse/internal/core"
)

// Kind is the type of a record.
type Kind string

// The types of records.
const (
	// KindTakeover marks the start of a new ownership.
	KindTakeover Kind = "takeover"
	// KindReserve permits the dispatch of one attempt for a key.
	KindReserve Kind = "reserve"
	// KindRelease cancels a reservation that was never dispatched.
	KindRelease Kind = "release"
	// KindFinish records the outcome of the attempt for a key.
	KindFinish Kind = "finish"
)

// MaxResponseBytes is the largest response body that is stored for replay.
const MaxResponseBytes = 4 << 10

// Record is one entry of the journal.
type Record struct {
	Kind Kind
	// Owner is set for KindTakeover.
	Owner                     string
	Key, Attempt, Fingerprint string
	Time                      time.Time
	// Result, Status, ResponseBody and ContentType are set for KindFinish.
	// ResponseComplete is set if ResponseBody is the complete body.
	Result           core.Result
	Status           int
	ResponseBody     []byte
	ContentType      string
	ResponseComplete bool
	// fromEntry is set for a KindRelease requested by the entry; it is not
	// stored.
	fromEntry bool
}

// recordOverhead is the approximate encoded size of a record in bytes without
// its strings.
const recordOverhead = 48

// size returns the approximate encoded size in bytes. It depends only on the
// record, so that all owners compute the same size.
func (r *Record) size() int {
	return recordOverhead + len(r.Owner) + len(r.Key) + len(r.Attempt) + len(r.Fingerprint) +
		len(r.Result) + len(r.ResponseBody)*4/3 + len(r.ContentType)
}

// Batch is the value of one slot.
type Batch struct {
	// Seq is the sequence number; the batch is stored in slot Seq modulo the
	// number of slots.
	Seq uint64
	// Owner and WriteID identify the last write of the batch.
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

// newest returns the time of the newest record.
func (b *Batch) newest() time.Time {
	var newest time.Time
	for i := range b.Records {
		if b.Records[i].Time.After(newest) {
			newest = b.Records[i].Time
		}
	}
	return newest
}

// compact drops the records that later records of the same batch supersede: a
// finished reservation, a reservation together with its release, and all
// takeovers except the last.
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
