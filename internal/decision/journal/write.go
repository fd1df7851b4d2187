package journal

import (
	"slices"
	"strconv"
	"time"
)

// WriteResult is what is known of a write.
type WriteResult int

// The results of a write.
const (
	// WriteApplied: the platform took it.
	WriteApplied WriteResult = iota
	// WriteConflict: the slot had another version.
	WriteConflict
	// WriteRejected: the platform refused it for now; it has no effect.
	WriteRejected
	// WriteUnknown: it may have taken effect, or may still.
	WriteUnknown
)

type phase int

const (
	phaseWriting phase = iota
	phaseReadBack
)

// write is the one write in flight. It is repeated unchanged until its
// result is certain.
type write struct {
	phase     phase
	slot      int
	ifVersion uint64
	batch     *Batch
	added     []Record
}

// startWrite begins the next write if one is due and none is in flight.
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

// takePending takes as many records as one write may add.
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

// WriteDone tells the result of an OpWrite; version is the slot's new version
// if it was applied.
func (m *Machine) WriteDone(result WriteResult, version uint64, now time.Time) {
	if m.inFlight == nil || m.inFlight.phase != phaseWriting {
		return
	}
	switch result {
	case WriteApplied:
		m.writeApplied(version, now)
	case WriteConflict:
		// An earlier try of this same write may have won: read to be sure.
		m.requestReadBack()
	case WriteRejected:
		m.recordFailure(now)
		m.requestWrite()
	case WriteUnknown:
		m.recordFailure(now)
		m.requestReadBack()
	}
}

// handleReadBack settles a write whose result was not certain.
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

// confirmReservations answers those whose reservations have become durable.
func (m *Machine) confirmReservations(w *write) {
	for i := range w.added {
		r := &w.added[i]
		k := m.keys[r.Key]
		if r.Kind != KindReserve || k == nil || k.attempt != r.Attempt {
			continue // no reservation, or released since
		}
		k.durable = true
		if k.awaitingReply {
			k.awaitingReply = false
			m.replies = append(m.replies, Reply{Attempt: k.attempt, Reserved: true})
		}
	}
}

// handleOwnershipLoss ends the ownership: another owner has written the journal. If this
// process is to own it still, it takes it over again after a wait. What waits
// for a reservation asks again then, and what was not recorded is recorded.
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
			ask := ReserveRequest{Key: name, Attempt: k.attempt, Fingerprint: k.fingerprint}
			m.deferred = append(m.deferred, func(now time.Time) { m.Reserve(ask, now) })
		}
	}
	m.reset()
	m.notBefore = now.Add(m.retakeDelay + time.Duration(m.config.Rand.Int64N(int64(m.retakeDelay))))
}

// deferRecords keeps what entries told and was not recorded for the next
// takeover.
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

// canWriteNext tells whether the next write overwrites only what may be
// forgotten. A key is accepted until the retention after its time, which may
// be the skew after the record's.
func (m *Machine) canWriteNext(now time.Time) bool {
	if m.head == nil || !m.headFull() {
		return true
	}
	next := m.slots[m.slotOf(m.head.Seq+1)]
	return next.version == 0 || now.After(next.newestRecordAt.Add(m.config.Retention+m.config.ClockSkew))
}
