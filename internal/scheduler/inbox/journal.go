package inbox

import (
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/journal"
	"kingcupcourse/internal/ring"
)

const (
	// JournalCapacity is how many messages wait for a journal's owner duty.
	// When it is full, the queue duty keeps what it has to tell until later
	// and refuses new run-once requests as not run.
	JournalCapacity = 4096
	// JournalReaders is how many slots are read at once.
	JournalReaders = 8
)

// JournalMessage is a message to the owner duty of a shard's journal.
type JournalMessage interface{ toJournal() }

// Reserve wants a key reserved.
type Reserve struct{ Request journal.ReserveRequest }

// ConfirmRefusal wants the answer to an attempt that the queue refuses.
type ConfirmRefusal struct {
	Request journal.ReserveRequest
	Refusal *core.Refusal
}

// Release gives a reservation back.
type Release struct {
	Key, Attempt string
	// ByEntry tells that the entry that asked for the attempt will never
	// dispatch it; otherwise the queue gave no grant for it.
	ByEntry bool
}

// Finish records the end of an attempt.
type Finish struct{ Record journal.Record }

// SetOwnership tells whether this scheduler is to own the journal.
type SetOwnership struct{ Owned bool }

// ReadDone is the result of a read.
type ReadDone struct{ Result journal.ReadResult }

// WriteDone is the result of a write.
type WriteDone struct {
	Result  journal.WriteResult
	Version uint64
}

// Flush asks for an answer when nothing is left to be written, or when that
// cannot be done.
type Flush struct{ ring.Reply[struct{}] }

func (Reserve) toJournal()        {}
func (ConfirmRefusal) toJournal() {}
func (Release) toJournal()        {}
func (Finish) toJournal()         {}
func (SetOwnership) toJournal()   {}
func (ReadDone) toJournal()       {}
func (WriteDone) toJournal()      {}
func (Flush) toJournal()          {}
