package inbox

import (
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/journal"
	"kingcupcourse/internal/ring"
)

const (
	// JournalCapacity is the size of the ring of a journal's owner duty. When
	// it is full, the queue duty retries its releases and records later and
	// refuses new run-once requests as not run.
	JournalCapacity = 4096
	// JournalReaders is the number of slots that are read concurrently.
	JournalReaders = 8
)

// JournalMessage is a message to the owner duty of a shard's journal.
type JournalMessage interface{ isJournalMessage() }

// Reserve requests the reservation of an idempotency key.
type Reserve struct{ Request journal.ReserveRequest }

// ConfirmRefusal requests the reply to an attempt that the queue refuses. The
// refusal stands only if no earlier attempt with the key can have run.
type ConfirmRefusal struct {
	Request journal.ReserveRequest
	Refusal *core.Refusal
}

// Release frees a reservation.
type Release struct {
	Key, Attempt string
	// ByEntry is set if the entry reported that the attempt was not
	// executed; otherwise the queue never granted it.
	ByEntry bool
}

// Finish records the end of an attempt.
type Finish struct{ Record journal.Record }

// SetOwnership starts or ends the ownership of the journal by this scheduler.
type SetOwnership struct{ Owned bool }

// ReadDone is the result of a read.
type ReadDone struct{ Result journal.ReadResult }

// WriteDone is the result of a write.
type WriteDone struct {
	Result  journal.WriteResult
	Version uint64
}

// Flush requests a reply once nothing is left to be written, or once the
// platform is known to be down.
type Flush struct{ ring.Reply[struct{}] }

func (Reserve) isJournalMessage()        {}
func (ConfirmRefusal) isJournalMessage() {}
func (Release) isJournalMessage()        {}
func (Finish) isJournalMessage()         {}
func (SetOwnership) isJournalMessage()   {}
func (ReadDone) isJournalMessage()       {}
func (WriteDone) isJournalMessage()      {}
func (Flush) isJournalMessage()          {}
