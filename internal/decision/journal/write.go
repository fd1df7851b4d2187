package journal

import (
	"slices"
	"strconv"
	"time"
)

// WriteResult is the result of a write.
type WriteResult int

// The results of a write.
const (
	// WriteApplied: the write took effect.
	WriteApplied WriteResult = iota
	// WriteConflict: the slot has another version.
	WriteConflict
	// WriteRejected: the platform refused the write temporarily; it has no
	// effect.
	WriteRejected
	// WriteUnknown: the write may have taken effect, or may still do so.
	WriteUnknown
)

type phase int

const (
	phaseWriting phase = iota
	phaseReadBack
)

// write is the write in flight. It is retried unchanged until its result is
// certain.
type write struct {
	phase     phase
	slot      int
	ifVersion uint64
	batch     *Batch
	added     []Record
}

// startWrite starts the next write if one is due and none is in flight.
func (m *Machine) startWrite(now time.Time) {
	claiming := m.state == stateClaiming
	if m.inFlight != nil || !claiming && (m.state != stateOwner || len(m.pending) == 0) {
		return
	}
	if !m.canWriteNext(now) {
		m.notBefore = now.Add(retryAfter)
		return
	}
	records := []Record{{Kind: KindTakeover, Owner: m.config.Owner, Time: now}}
	if !claiming {
		records = m.takePending()
	}
	m.beginWrite(records, now)
}

// takePending removes and returns as many pending records as one write may
// add.
func (m *Machine) takePending() []Record {
	size, count := 0, 0
	for count < len(m.pending) && (count == 0 || size+m.pending[count].size() <= maxWriteBytes) {
		size += m.pending[count].size()
		count++
	}
	taken := slices.Clone(m.pending[:count])
	m.pending = slices.Delete(m.pending, 0, count)
	return taken
}

func (m *Machine) beginWrite(records []Record, now time.Time) {
	m.writeCount++
	batch := &Batch{Owner: m.config.Owner, WriteID: m.config.Owner + "#" + strconv.FormatUint(m.writeCount, 10)}
	switch {
	case m.head == nil:
		batch.Records = records
	case m.headFull():
		batch.Seq = m.head.Seq + 1
		batch.Records = records
	default:
		batch.Seq = m.head.Seq
		batch.Records = compact(slices.Concat(m.head.Records, records))
	}
	at := m.slotOf(batch.Seq)
	m.inFlight = &write{slot: at, ifVersion: m.slots[at].version, batch: batch, added: records}
	m.notBefore = now.Add(m.config.MinWriteInterval)
	m.requestWrite()
}

func (m *Machine) requestWrite() {
	m.inFlight.phase = phaseWriting
	m.nextOps = append(m.nextOps, Op{Kind: OpWrite, Slot: m.inFlight.slot, IfVersion: m.inFlight.ifVersion, Batch: m.inFlight.batch})
}

func (m *Machine) requestReadBack() {
	m.inFlight.phase = phaseReadBack
	m.nextOps = append(m.nextOps, Op{Kind: OpRead, Slot: m.inFlight.slot})
}

// WriteDone handles the result of an OpWrite. Version is the new version of the
// slot if the write was applied.
func (m *Machine) WriteDone(result WriteResult, version uint64, now time.Time) {
	if m.inFlight == nil || m.inFlight.phase != phaseWriting {
		return
	}
	switch result {
	case WriteApplied:
		m.writeApplied(version, now)
	case WriteConflict:
		// An earlier try of the same write may have been applied: read back.
		m.requestReadBack()
	case WriteRejected:
		m.recordFailure(now)
		m.requestWrite()
	case WriteUnknown:
		m.recordFailure(now)
		m.requestReadBack()
	}
}

// handleReadBack determines the result of a write after reading its slot back.
func (m *Machine) handleReadBack(r ReadResult, now time.Time) {
	switch {
	case r.Failed:
		m.recordFailure(now)
		m.requestReadBack()
	case r.Batch != nil && r.Batch.WriteID == m.inFlight.batch.WriteID:
		m.writeApplied(r.Version, now)
	case r.Version == m.inFlight.ifVersion:
		m.requestWrite()
	case m.state == stateClaiming && m.shouldOwn:
		m.inFlight = nil
		m.rereadFrom(r)
	default:
		m.handleOwnershipLoss(now)
	}
}

func (m *Machine) writeApplied(version uint64, now time.Time) {
	m.recordSuccess()
	w := m.inFlight
	m.inFlight = nil
	m.head = w.batch
	m.slots[w.slot] = slot{version: version, seq: w.batch.Seq, newestRecordAt: w.batch.newest()}
	if m.state == stateClaiming && m.shouldOwn {
		m.becomeOwner(now)
		return
	}
	m.confirmReservations(w)
	m.resignIfFlushed()
}

// confirmReservations marks the reservations of a write as durable and replies
// to the requests that wait for them.
func (m *Machine) confirmReservations(w *write) {
	for i := range w.added {
		r := &w.added[i]
		k := m.keys[r.Key]
		if r.Kind != KindReserve || k == nil || k.attempt != r.Attempt {
			continue // not a reservation, or released since
		}
		k.durable = true
		if k.awaitingReply {
			k.awaitingReply = false
			m.replies = append(m.replies, Reply{Attempt: k.attempt, Reserved: true})
		}
	}
}

// handleOwnershipLoss ends the ownership after another owner has written the
// journal. If this process should still own it, it takes the journal over again
// after a delay. Waiting reservations are then requested again, and records
// that were not written are recorded again.
func (m *Machine) handleOwnershipLoss(now time.Time) {
	if !m.shouldOwn {
		m.resign("another scheduler has taken the pool's journal over")
		return
	}
	if now.Sub(m.ownerSince) >= retakeResetAfter {
		m.retakeDelay = 0
	}
	m.retakeDelay = min(maxRetakeDelay, max(minRetakeDelay, 2*m.retakeDelay))
	m.deferRecords(m.inFlight.added)
	m.deferRecords(m.pending)
	for name, k := range m.keys {
		if k.awaitingReply {
			req := ReserveRequest{Key: name, Attempt: k.attempt, Fingerprint: k.fingerprint}
			m.deferred = append(m.deferred, func(now time.Time) { m.Reserve(req, now) })
		}
	}
	m.reset()
	m.notBefore = now.Add(m.retakeDelay + time.Duration(m.config.Rand.Int64N(int64(m.retakeDelay))))
}

// deferRecords keeps the unwritten outcomes, and the releases from entries,
// until the next takeover.
func (m *Machine) deferRecords(records []Record) {
	for _, r := range records {
		switch r.Kind {
		case KindRelease:
			if r.fromEntry {
				m.deferred = append(m.deferred, func(now time.Time) { m.Release(r.Key, r.Attempt, true, now) })
			}
		case KindFinish:
			m.deferred = append(m.deferred, func(now time.Time) { m.Finish(r, now) })
		}
	}
}

func (m *Machine) slotOf(seq uint64) int { return int(seq % uint64(len(m.slots))) }

func (m *Machine) headFull() bool { return m.head.size() >= m.config.SlotBytes }

// canWriteNext reports whether the next write overwrites only records that have
// expired. A key is accepted until the retention period after its timestamp,
// which may be later than the record's time by the clock skew.
func (m *Machine) canWriteNext(now time.Time) bool {
	if m.head == nil || !m.headFull() {
		return true
	}
	next := m.slots[m.slotOf(m.head.Seq+1)]
	return next.version == 0 || now.After(next.newestRecordAt.Add(m.config.Retention+m.config.ClockSkew))
}
