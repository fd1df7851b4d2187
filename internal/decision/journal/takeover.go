package journal

import (
	"slices"
	"time"
)

// ReadResult is the result of reading a slot.
type ReadResult struct {
	Slot int
	// Failed is set if the read failed; the other results are then invalid.
	Failed bool
	// Version is zero and Batch nil if there is no object.
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

// ReadDone handles the result of an OpRead.
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

// rereadUnconfirmed reads the slots again that may have changed since they were
// read. The slots are not read atomically: a former owner may have filled a
// slot after it was read and written the next slot before that was read. A
// batch other than the head is final if it is full, or if it is read after the
// head was found. It returns false if there is nothing to read.
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

// recordSlot stores the content of a slot and reports whether its version has
// changed.
func (m *Machine) recordSlot(r ReadResult) (newer bool) {
	previous := m.slots[r.Slot]
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
	return r.Version != previous.version
}

// rereadFrom restarts a takeover after another owner has written the slot for
// the takeover record. Only that slot and the following ones can have changed.
func (m *Machine) rereadFrom(r ReadResult) {
	m.state, m.partialReread = stateReading, true
	m.pendingReads = map[int]bool{}
	m.recordSlot(r)
	m.requestRead((r.Slot + 1) % len(m.slots))
}

// becomeOwner completes a takeover: it rebuilds the keys from the batches read
// and handles the deferred requests.
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
	deferred := m.deferred
	m.deferred = nil
	for _, event := range deferred {
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
