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
	// firstBackoff and maxBackoff bound the wait after a failed call.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
	// failuresToDown is how many calls must fail in a row before new keys
	// are refused at once. One lost answer is no outage.
	failuresToDown = 2
	// firstRetake and maxRetake bound how long a deposed owner waits before
	// it takes the journal over again, if it is to own it still; the wait
	// doubles until an ownership lasts retakeForgiven.
	firstRetake    = 100 * time.Millisecond
	maxRetake      = 2 * time.Second
	retakeForgiven = 10 * time.Second
	// maxHeld bounds the requests that wait for a takeover.
	maxHeld = 4096
	// retryHint is when a caller that was refused should ask again.
	retryHint = time.Second
)

// Config sets a machine up.
type Config struct {
	// Owner names this owner; no two owners ever have the same name.
	Owner string
	// Slots is how many slot objects the journal has.
	Slots int
	// Retention is how long a key is remembered, Skew how far clocks differ.
	Retention, Skew time.Duration
	// Flush is the shortest time between two writes.
	Flush time.Duration
	// Settle is how long this process must be the one to own the journal
	// before it takes it over, so that processes that start together do not
	// take it from each other.
	Settle time.Duration
	// SlotBytes is the size from which a slot gets no more records. Default
	// DefaultSlotBytes.
	SlotBytes int
	// Random spreads retries.
	Random *rand.Rand
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
	// own tells that the reservation was made in the present ownership.
	own bool
	// waiting tells that an Ask of the attempt has no answer yet.
	waiting bool
	// finish is the recorded end, nil while unfinished.
	finish *Record
}

// slot is what is known of one slot object.
type slot struct {
	version uint64 // zero: there is no object
	seq     uint64
	newest  time.Time
}

// Machine is the state of one pool's journal as its owner sees it. Feed it
// requests and the results of calls, then take Ops and Answers.
type Machine struct {
	config Config
	wanted bool // this process is to own the journal
	state  state
	slots  []slot
	keys   map[string]*key

	// head is the content of the slot with the highest sequence number, nil
	// if the journal is empty.
	head *Batch
	// gathered are records that no write has taken yet.
	gathered []Record
	// held are requests that wait for the takeover.
	held []func(now time.Time)
	// reading are the slots whose read is not yet done.
	reading map[int]bool
	found   map[int]*Batch
	// confirmed are the slots that were read after the head was found.
	confirmed map[int]bool
	// rereading tells that only the slots from the head on are read.
	rereading bool

	write  *write
	writes uint64
	down   bool
	failed int       // calls that failed in a row
	notNow time.Time // no call before this time
	// retake is the wait after the last deposal, ownerSince when the
	// ownership began.
	retake     time.Duration
	ownerSince time.Time
	nextOps    []Op
	answers    []Answer
}

// New returns a machine that does not own the journal yet.
func New(config Config) *Machine {
	if config.SlotBytes == 0 {
		config.SlotBytes = DefaultSlotBytes
	}
	m := &Machine{config: config}
	m.forget()
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

// Answer is the reply to an Ask or a Refuse; exactly one of the other fields
// is set.
type Answer struct {
	Attempt  string
	Reserved bool
	Refusal  *core.Refusal
	Prior    *core.PriorOutcome
}

// Own tells whether this process is to own the journal. Owning starts a
// takeover; a process that is not to own it any more writes what it has
// gathered and then refuses what waits.
func (m *Machine) Own(wanted bool, now time.Time) {
	if m.wanted == wanted {
		return
	}
	m.wanted = wanted
	if wanted && m.state == stateIdle {
		m.notNow = later(m.notNow, now.Add(m.config.Settle))
	}
	m.resignIfDone()
}

// resignIfDone ends the ownership of a process that is not to own the journal
// any more, once what it has gathered is written.
func (m *Machine) resignIfDone() {
	pending := m.write != nil || m.state == stateOwner && len(m.gathered) > 0
	if !m.wanted && !pending {
		m.resign("this scheduler no longer owns the pool")
	}
}

// Owner tells whether records can be written.
func (m *Machine) Owner() bool { return m.state == stateOwner }

// Idle tells that no call is in flight and nothing waits to be written.
func (m *Machine) Idle() bool {
	return m.write == nil && (len(m.gathered) == 0 || m.state != stateOwner)
}

// Down tells whether the last calls failed.
func (m *Machine) Down() bool { return m.down }

// Keys returns how many keys are remembered.
func (m *Machine) Keys() int { return len(m.keys) }

// Answers returns and forgets the answers given since the last call.
func (m *Machine) Answers() []Answer {
	answers := m.answers
	m.answers = nil
	return answers
}

// Ops returns the calls that are to be made now. At most one write is in
// flight at any time.
func (m *Machine) Ops(now time.Time) []Op {
	if now.Before(m.notNow) {
		return nil
	}
	if m.waitsToRead() {
		m.startReading()
	}
	m.startWrite(now)
	ops := m.nextOps
	m.nextOps = nil
	return ops
}

// Wake returns when Ops has more to say, zero if only after another event.
func (m *Machine) Wake() time.Time {
	writable := m.write == nil && (m.state == stateClaiming || m.state == stateOwner && len(m.gathered) > 0)
	if len(m.nextOps) > 0 || writable || m.waitsToRead() {
		return m.notNow
	}
	return time.Time{}
}

// waitsToRead tells whether the takeover is yet to begin.
func (m *Machine) waitsToRead() bool { return m.state == stateIdle && m.wanted }

// holds tells whether requests have to wait for the takeover.
func (m *Machine) holds() bool { return m.state != stateOwner && m.wanted }

// Prune forgets the keys that are out of force.
func (m *Machine) Prune(now time.Time) {
	oldest := now.Add(-m.config.Retention - m.config.Skew)
	for name, k := range m.keys {
		if k.time.Before(oldest) && !k.waiting {
			delete(m.keys, name)
		}
	}
}

// resign drops the state and refuses what waits.
func (m *Machine) resign(why string) {
	for _, k := range m.keys {
		if k.waiting {
			m.refuse(k.attempt, core.RefuseWithRetry(core.ReasonJournalUnavailable, why, retryHint))
		}
	}
	held := m.held
	m.held = nil
	m.forget()
	for _, event := range held {
		event(time.Time{}) // not wanted: each is refused or dropped
	}
}

// forget drops all but the requests that wait for a takeover.
func (m *Machine) forget() {
	m.state = stateIdle
	m.slots = make([]slot, m.config.Slots)
	m.keys = map[string]*key{}
	m.head, m.gathered = nil, nil
	m.reading, m.found, m.confirmed, m.rereading = nil, nil, nil, false
	m.write, m.nextOps = nil, nil
}

// backOff postpones the next call after a failed one.
func (m *Machine) backOff(now time.Time) {
	wait := min(maxBackoff, firstBackoff<<min(m.failed, 10))
	m.failed++
	m.down = m.failed >= failuresToDown
	m.notNow = now.Add(wait/2 + time.Duration(m.config.Random.Int64N(int64(wait))))
}

func (m *Machine) worked() { m.down, m.failed = false, 0 }

func (m *Machine) refuse(attempt string, refusal *core.Refusal) {
	m.answers = append(m.answers, Answer{Attempt: attempt, Refusal: refusal})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
