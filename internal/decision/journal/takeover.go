package journal

import (
	"slices"
	"time"
)

// ReadResult is what reading a slot gave.
type ReadResult struct {
	Slot int
	// Failed tells that nothing was learned.
	Failed bool
	// Version is zero if there is no object; Batch is then nil.
	Version uint64
	Batch   *Batch
}

func (m *Machine) startReading() {
	m.reset()
	m.state = stateReading
	m.batches = map[int]*Batch{}
	m.confirmed = map[int]bool{}
	m.pendingReads = map[int]bool{}
	for i := range m.slots {
		m.requestRead(i)
	}
}

func (m *Machine) requestRead(i int) {
	m.pendingReads[i] = true
	m.nextOps = append(m.nextOps, Op{Kind: OpRead, Slot: i})
}

// ReadDone tells the result of an OpRead.
func (m *Machine) ReadDone(r ReadResult, now time.Time) {
	switch {
	case m.inFlight != nil && m.inFlight.slot == r.Slot && m.inFlight.phase == phaseReadBack:
		m.handleReadBack(r, now)
	case m.state == stateReading && m.pendingReads[r.Slot]:
		m.handleSlotRead(r, now)
	}
}

func (m *Machine) handleSlotRead(r ReadResult, now time.Time) {
	if r.Failed {
		m.recordFailure(now)
		m.nextOps = append(m.nextOps, Op{Kind: OpRead, Slot: r.Slot})
		return
	}
	m.recordSuccess()
	delete(m.pendingReads, r.Slot)
	newer := m.recordSlot(r)
	if m.partialReread && newer {
		m.requestRead((r.Slot + 1) % len(m.slots))
	}
	if len(m.pendingReads) > 0 || m.rereadUnconfirmed() {
		return
	}
	m.state = stateClaiming
}

// rereadUnconfirmed reads again what may have changed since it was read. The
// slots are not read at one moment: a former owner may have filled a slot
// after it was read and gone on to the next before that was. A batch that is
// not the head is final once it is full, and in any case when it is read
// after the head was found. It returns false if there is nothing to read.
func (m *Machine) rereadUnconfirmed() bool {
	if m.head == nil {
		return false
	}
	oldest := m.head.Seq - min(m.head.Seq, uint64(len(m.slots)-1))
	for seq := oldest; seq < m.head.Seq; seq++ {
		at := m.slotOf(seq)
		batch := m.batches[at]
		final := batch != nil && batch.Seq == seq && batch.size() >= m.config.SlotBytes
		if !final && !m.confirmed[at] {
			m.confirmed[at] = true
			m.requestRead(at)
		}
	}
	return len(m.pendingReads) > 0
}

// recordSlot notes a slot's content. It tells whether the content is newer than
// what was known.
func (m *Machine) recordSlot(r ReadResult) (newer bool) {
	known := m.slots[r.Slot]
	s := slot{version: r.Version}
	if r.Batch != nil {
		s.seq, s.newestRecordAt = r.Batch.Seq, r.Batch.newest()
		m.batches[r.Slot] = r.Batch
		if m.head == nil || r.Batch.Seq > m.head.Seq {
			clear(m.confirmed)
		}
		if m.head == nil || r.Batch.Seq >= m.head.Seq {
			m.head = r.Batch
		}
	}
	m.slots[r.Slot] = s
	return r.Version != known.version
}

// rereadFrom starts over after another owner has written the slot that the
// takeover wanted. Only that slot and those that follow it can have changed.
func (m *Machine) rereadFrom(r ReadResult) {
	m.state, m.partialReread = stateReading, true
	m.pendingReads = map[int]bool{}
	m.recordSlot(r)
	m.requestRead((r.Slot + 1) % len(m.slots))
}

// becomeOwner becomes the owner: it builds the state of the keys from all that
// was read.
func (m *Machine) becomeOwner(now time.Time) {
	m.state, m.partialReread = stateOwner, false
	m.ownerSince = now
	m.batches[m.slotOf(m.head.Seq)] = m.head
	batches := make([]*Batch, 0, len(m.batches))
	for _, batch := range m.batches {
		batches = append(batches, batch)
	}
	slices.SortFunc(batches, func(a, b *Batch) int {
		if a.Seq < b.Seq {
			return -1
		}
		return 1
	})
	for _, batch := range batches {
		for i := range batch.Records {
			m.replay(&batch.Records[i])
		}
	}
	m.batches = nil
	m.Prune(now)
	held := m.deferred
	m.deferred = nil
	for _, event := range held {
		event(now)
	}
}

func (m *Machine) replay(r *Record) {
	at, _ := KeyTime(r.Key)
	switch r.Kind {
	case KindReserve:
		m.keys[r.Key] = &key{attempt: r.Attempt, fingerprint: r.Fingerprint, time: at, durable: true}
	case KindRelease:
		if k := m.keys[r.Key]; k != nil && k.attempt == r.Attempt && k.finish == nil {
			delete(m.keys, r.Key)
		}
	case KindFinish:
		m.keys[r.Key] = &key{attempt: r.Attempt, fingerprint: r.Fingerprint, time: at, durable: true, finish: r}
	}
}
