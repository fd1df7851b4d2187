package journal

import (
	"math/rand/v2"
	"time"

	"kingcupcourse/internal/core"
)

const (
	// DefaultSlotBytes is the batch size from which a slot is full.
	DefaultSlotBytes = 16 << 10
	// maxWriteBytes is the maximum size of the records added by one write.
	maxWriteBytes = 256 << 10
	// minBackoff and maxBackoff bound the delay after a failed call.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// failuresToUnavailable is the number of consecutive failed calls after
	// which new keys are refused immediately. A single lost response is not an
	// outage.
	failuresToUnavailable = 2
	// minRetakeDelay and maxRetakeDelay bound the delay before an owner that
	// lost the journal but should still own it takes it over again. The delay
	// doubles until an ownership lasts retakeResetAfter.
	minRetakeDelay   = 100 * time.Millisecond
	maxRetakeDelay   = 2 * time.Second
	retakeResetAfter = 10 * time.Second
	// maxDeferred is the maximum number of requests that wait for a takeover.
	maxDeferred = 4096
	// retryAfter is the retry delay sent with a refusal.
	retryAfter = time.Second
)

// Config configures a Machine.
type Config struct {
	// Owner is the name of this owner, unique among all owners ever.
	Owner string
	// Slots is the number of slot objects in the journal.
	Slots int
	// Retention is how long a key is kept. ClockSkew is the maximum clock
	// difference between hosts.
	Retention, ClockSkew time.Duration
	// MinWriteInterval is the shortest time between two writes.
	MinWriteInterval time.Duration
	// TakeoverDelay is how long this process must be the designated owner
	// before it takes the journal over, so that processes that start together
	// do not take it from each other.
	TakeoverDelay time.Duration
	// SlotBytes is the batch size from which a slot is full. Default
	// DefaultSlotBytes.
	SlotBytes int
	// Rand is the source of the jitter in delays.
	Rand *rand.Rand
}

// state is the phase of ownership.
type state int

const (
	// stateIdle: never the owner, or no longer.
	stateIdle state = iota
	// stateReading: the slots are being read before a takeover.
	stateReading
	// stateClaiming: the takeover record is being written.
	stateClaiming
	// stateOwner: records may be written.
	stateOwner
)

// key is the state of one idempotency key.
type key struct {
	attempt, fingerprint string
	time                 time.Time
	// durable is set once the reservation is stored in the platform.
	durable bool
	// reservedHere is set if the reservation was made in the current ownership.
	reservedHere bool
	// awaitingReply is set while a Reserve of the attempt has no reply.
	awaitingReply bool
	// finish is the recorded outcome, nil while there is none.
	finish *Record
}

// slot is the last known state of one slot object.
type slot struct {
	version        uint64 // zero if there is no object
	seq            uint64
	newestRecordAt time.Time
}

// Machine is the state machine of one pool's journal. It makes no calls
// itself: the caller feeds it requests and the results of platform calls, then
// makes the calls that Ops returns and delivers the replies of TakeReplies.
type Machine struct {
	config    Config
	shouldOwn bool // this process is the designated owner
	state     state
	slots     []slot
	keys      map[string]*key

	// head is the batch with the highest sequence number, nil if the journal
	// is empty.
	head *Batch
	// pending holds the records that are not part of a write yet.
	pending []Record
	// deferred holds the requests that wait for a takeover.
	deferred []func(now time.Time)
	// pendingReads holds the slots whose read has not completed.
	pendingReads map[int]bool
	batches      map[int]*Batch
	// confirmed holds the slots that are read after the head was found.
	confirmed map[int]bool
	// partialReread is set while only the slots from the head on are read.
	partialReread bool

	inFlight            *write
	writeCount          uint64
	platformDown        bool
	consecutiveFailures int       // failed calls
	notBefore           time.Time // time of the next call at the earliest
	// retakeDelay is the delay after the last loss of ownership, ownerSince the
	// start of the current ownership.
	retakeDelay time.Duration
	ownerSince  time.Time
	nextOps     []Op
	replies     []Reply
}

// New returns a Machine that does not own the journal.
func New(config Config) *Machine {
	if config.SlotBytes == 0 {
		config.SlotBytes = DefaultSlotBytes
	}
	m := &Machine{config: config}
	m.reset()
	return m
}

// OpKind is the type of an Op.
type OpKind int

// The types of operations.
const (
	OpRead OpKind = iota
	OpWrite
)

// Op is a platform call to be made. Its result must be passed to ReadDone or
// WriteDone.
type Op struct {
	Kind OpKind
	Slot int
	// IfVersion and Batch are set for OpWrite.
	IfVersion uint64
	Batch     *Batch
}

// Reply is the reply to a Reserve or RefuseUnreserved. Exactly one of the
// fields other than Attempt is set.
type Reply struct {
	Attempt      string
	Reserved     bool
	Refusal      *core.Refusal
	PriorOutcome *core.PriorOutcome
}

// SetOwnership sets whether this process should own the journal. If so, it
// starts a takeover. If no longer, the machine first writes the pending records
// and then refuses the waiting requests.
func (m *Machine) SetOwnership(shouldOwn bool, now time.Time) {
	if m.shouldOwn == shouldOwn {
		return
	}
	m.shouldOwn = shouldOwn
	if shouldOwn && m.state == stateIdle {
		m.notBefore = latest(m.notBefore, now.Add(m.config.TakeoverDelay))
	}
	m.resignIfFlushed()
}

// resignIfFlushed gives up the ownership if this process should no longer own
// the journal and all pending records are written.
func (m *Machine) resignIfFlushed() {
	unflushed := m.inFlight != nil || m.state == stateOwner && len(m.pending) > 0
	if !m.shouldOwn && !unflushed {
		m.resign("this scheduler no longer owns the pool")
	}
}

// IsOwner reports whether the machine owns the journal and can write records.
func (m *Machine) IsOwner() bool { return m.state == stateOwner }

// Idle reports whether no write is in flight or pending.
func (m *Machine) Idle() bool {
	return m.inFlight == nil && (len(m.pending) == 0 || m.state != stateOwner)
}

// PlatformDown reports whether the most recent platform calls failed.
func (m *Machine) PlatformDown() bool { return m.platformDown }

// KeyCount returns the number of known keys.
func (m *Machine) KeyCount() int { return len(m.keys) }

// TakeReplies returns and clears the replies since the last call.
func (m *Machine) TakeReplies() []Reply {
	replies := m.replies
	m.replies = nil
	return replies
}

// Ops returns the platform calls to be made now. At most one write is in
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

// NextOpsAt returns when Ops must be called next, zero if only after another
// event.
func (m *Machine) NextOpsAt() time.Time {
	writable := m.inFlight == nil && (m.state == stateClaiming || m.state == stateOwner && len(m.pending) > 0)
	if len(m.nextOps) > 0 || writable || m.shouldStartReading() {
		return m.notBefore
	}
	return time.Time{}
}

// shouldStartReading reports whether a takeover is due and has not started.
func (m *Machine) shouldStartReading() bool { return m.state == stateIdle && m.shouldOwn }

// takeoverPending reports whether requests must wait for a takeover.
func (m *Machine) takeoverPending() bool { return m.state != stateOwner && m.shouldOwn }

// Prune removes the keys that are past the retention period and clock skew.
func (m *Machine) Prune(now time.Time) {
	oldest := now.Add(-m.config.Retention - m.config.ClockSkew)
	for name, k := range m.keys {
		if k.time.Before(oldest) && !k.awaitingReply {
			delete(m.keys, name)
		}
	}
}

// resign drops the state and refuses the waiting requests.
func (m *Machine) resign(reason string) {
	for _, k := range m.keys {
		if k.awaitingReply {
			m.replyRefusal(k.attempt, core.RefuseWithRetry(core.ReasonJournalUnavailable, reason, retryAfter))
		}
	}
	deferred := m.deferred
	m.deferred = nil
	m.reset()
	for _, event := range deferred {
		event(time.Time{}) // shouldOwn is false, so each is refused or dropped
	}
}

// reset drops all state except the requests that wait for a takeover.
func (m *Machine) reset() {
	m.state = stateIdle
	m.slots = make([]slot, m.config.Slots)
	m.keys = map[string]*key{}
	m.head, m.pending = nil, nil
	m.pendingReads, m.batches, m.confirmed, m.partialReread = nil, nil, nil, false
	m.inFlight, m.nextOps = nil, nil
}

// recordFailure counts a failed call and delays the next one.
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
