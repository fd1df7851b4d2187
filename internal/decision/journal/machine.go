package journal

import (
	"math/rand/v2"
	"time"

	"kingcupcourse/internal/core"
)

const (
	// DefaultSlotBytes is the size from which a slot gets no more records.
	DefaultSlotBytes = 16 << 10
	// maxWriteBytes bounds the records that one write adds.
	maxWriteBytes = 256 << 10
	// minBackoff and maxBackoff bound the wait after a failed call.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// failuresToUnavailable is how many calls must fail in a row before new keys
	// are refused at once. One lost answer is no outage.
	failuresToUnavailable = 2
	// minRetakeDelay and maxRetake bound how long a deposed owner waits before
	// it takes the journal over again, if it is to own it still; the wait
	// doubles until an ownership lasts retakeForgiven.
	minRetakeDelay   = 100 * time.Millisecond
	maxRetakeDelay   = 2 * time.Second
	retakeResetAfter = 10 * time.Second
	// maxDeferred bounds the requests that wait for a takeover.
	maxDeferred = 4096
	// retryAfter is when a caller that was refused should ask again.
	retryAfter = time.Second
)

// Config sets a machine up.
type Config struct {
	// Owner names this owner; no two owners ever have the same name.
	Owner string
	// Slots is how many slot objects the journal has.
	Slots int
	// Retention is how long a key is remembered, ClockSkew how far clocks differ.
	Retention, ClockSkew time.Duration
	// MinWriteInterval is the shortest time between two writes.
	MinWriteInterval time.Duration
	// TakeoverDelay is how long this process must be the one to own the journal
	// before it takes it over, so that processes that start together do not
	// take it from each other.
	TakeoverDelay time.Duration
	// SlotBytes is the size from which a slot gets no more records. Default
	// DefaultSlotBytes.
	SlotBytes int
	// Rand spreads retries.
	Rand *rand.Rand
}

// state is the phase of ownership.
type state int

const (
	// stateIdle: not the owner, or deposed.
	stateIdle state = iota
	// stateReading: the slots are being read before a takeover.
	stateReading
	// stateClaiming: the takeover record is being written.
	stateClaiming
	// stateOwner: records may be written.
	stateOwner
)

// key is what is known of one idempotency key.
type key struct {
	attempt, fingerprint string
	time                 time.Time
	// durable tells that the reservation is in the platform.
	durable bool
	// reservedHere tells that the reservation was made in the present ownership.
	reservedHere bool
	// awaitingReply tells that an Ask of the attempt has no answer yet.
	awaitingReply bool
	// finish is the recorded end, nil while unfinished.
	finish *Record
}

// slot is what is known of one slot object.
type slot struct {
	version        uint64 // zero: there is no object
	seq            uint64
	newestRecordAt time.Time
}

// Machine is the state of one pool's journal as its owner sees it. Feed it
// requests and the results of calls, then take Ops and Answers.
type Machine struct {
	config    Config
	shouldOwn bool // this process is to own the journal
	state     state
	slots     []slot
	keys      map[string]*key

	// head is the content of the slot with the highest sequence number, nil
	// if the journal is empty.
	head *Batch
	// pending are records that no write has taken yet.
	pending []Record
	// deferred are requests that wait for the takeover.
	deferred []func(now time.Time)
	// pendingReads are the slots whose read is not yet done.
	pendingReads map[int]bool
	batches      map[int]*Batch
	// confirmed are the slots that were read after the head was found.
	confirmed map[int]bool
	// partialReread tells that only the slots from the head on are read.
	partialReread bool

	inFlight            *write
	writeCount          uint64
	platformDown        bool
	consecutiveFailures int       // calls that failed in a row
	notBefore           time.Time // no call before this time
	// retakeDelay is the wait after the last deposal, ownerSince when the
	// ownership began.
	retakeDelay time.Duration
	ownerSince  time.Time
	nextOps     []Op
	replies     []Reply
}

// New returns a machine that does not own the journal yet.
func New(config Config) *Machine {
	if config.SlotBytes == 0 {
		config.SlotBytes = DefaultSlotBytes
	}
	m := &Machine{config: config}
	m.reset()
	return m
}

// OpKind tells what call an Op asks for.
type OpKind int

// The kinds of calls.
const (
	OpRead OpKind = iota
	OpWrite
)

// Op is a call to the platform that is to be made now. Its result goes to
// ReadDone or WriteDone.
type Op struct {
	Kind OpKind
	Slot int
	// IfVersion and Batch are set for OpWrite.
	IfVersion uint64
	Batch     *Batch
}

// Reply is the reply to an Ask or a Refuse; exactly one of the other fields
// is set.
type Reply struct {
	Attempt      string
	Reserved     bool
	Refusal      *core.Refusal
	PriorOutcome *core.PriorOutcome
}

// SetOwnership tells whether this process is to own the journal. Owning starts a
// takeover; a process that is not to own it any more writes what it has
// gathered and then refuses what waits.
func (m *Machine) SetOwnership(wanted bool, now time.Time) {
	if m.shouldOwn == wanted {
		return
	}
	m.shouldOwn = wanted
	if wanted && m.state == stateIdle {
		m.notBefore = latest(m.notBefore, now.Add(m.config.TakeoverDelay))
	}
	m.resignIfFlushed()
}

// resignIfFlushed ends the ownership of a process that is not to own the journal
// any more, once what it has gathered is written.
func (m *Machine) resignIfFlushed() {
	pending := m.inFlight != nil || m.state == stateOwner && len(m.pending) > 0
	if !m.shouldOwn && !pending {
		m.resign("this scheduler no longer owns the pool")
	}
}

// IsOwner tells whether records can be written.
func (m *Machine) IsOwner() bool { return m.state == stateOwner }

// Idle tells that no call is in flight and nothing waits to be written.
func (m *Machine) Idle() bool {
	return m.inFlight == nil && (len(m.pending) == 0 || m.state != stateOwner)
}

// PlatformDown tells whether the last calls failed.
func (m *Machine) PlatformDown() bool { return m.platformDown }

// KeyCount returns how many keys are remembered.
func (m *Machine) KeyCount() int { return len(m.keys) }

// TakeReplies returns and forgets the answers given since the last call.
func (m *Machine) TakeReplies() []Reply {
	answers := m.replies
	m.replies = nil
	return answers
}

// Ops returns the calls that are to be made now. At most one write is in
// flight at any time.
func (m *Machine) Ops(now time.Time) []Op {
	if now.Before(m.notBefore) {
		return nil
	}
	if m.shouldStartReading() {
		m.startReading()
	}
	m.startWrite(now)
	ops := m.nextOps
	m.nextOps = nil
	return ops
}

// NextOpsAt returns when Ops has more to say, zero if only after another event.
func (m *Machine) NextOpsAt() time.Time {
	writable := m.inFlight == nil && (m.state == stateClaiming || m.state == stateOwner && len(m.pending) > 0)
	if len(m.nextOps) > 0 || writable || m.shouldStartReading() {
		return m.notBefore
	}
	return time.Time{}
}

// shouldStartReading tells whether the takeover is yet to begin.
func (m *Machine) shouldStartReading() bool { return m.state == stateIdle && m.shouldOwn }

// takeoverPending tells whether requests have to wait for the takeover.
func (m *Machine) takeoverPending() bool { return m.state != stateOwner && m.shouldOwn }

// Prune forgets the keys that are out of force.
func (m *Machine) Prune(now time.Time) {
	oldest := now.Add(-m.config.Retention - m.config.ClockSkew)
	for name, k := range m.keys {
		if k.time.Before(oldest) && !k.awaitingReply {
			delete(m.keys, name)
		}
	}
}

// resign drops the state and refuses what waits.
func (m *Machine) resign(why string) {
	for _, k := range m.keys {
		if k.awaitingReply {
			m.replyRefusal(k.attempt, core.RefuseWithRetry(core.ReasonJournalUnavailable, why, retryAfter))
		}
	}
	held := m.deferred
	m.deferred = nil
	m.reset()
	for _, event := range held {
		event(time.Time{}) // not wanted: each is refused or dropped
	}
}

// reset drops all but the requests that wait for a takeover.
func (m *Machine) reset() {
	m.state = stateIdle
	m.slots = make([]slot, m.config.Slots)
	m.keys = map[string]*key{}
	m.head, m.pending = nil, nil
	m.pendingReads, m.batches, m.confirmed, m.partialReread = nil, nil, nil, false
	m.inFlight, m.nextOps = nil, nil
}

// recordFailure postpones the next call after a failed one.
func (m *Machine) recordFailure(now time.Time) {
	wait := min(maxBackoff, minBackoff<<min(m.consecutiveFailures, 10))
	m.consecutiveFailures++
	m.platformDown = m.consecutiveFailures >= failuresToUnavailable
	m.notBefore = now.Add(wait/2 + time.Duration(m.config.Rand.Int64N(int64(wait))))
}

func (m *Machine) recordSuccess() { m.platformDown, m.consecutiveFailures = false, 0 }

func (m *Machine) replyRefusal(attempt string, refusal *core.Refusal) {
	m.replies = append(m.replies, Reply{Attempt: attempt, Refusal: refusal})
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
