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
	if m.write != nil || !claiming && (m.state != stateOwner || len(m.gathered) == 0) {
		return
	}
	if !m.hasRoom(now) {
		m.notNow = now.Add(retryHint)
		return
	}
	records := []Record{{Kind: KindTakeover, Owner: m.config.Owner, Time: now}}
	if !claiming {
		records = m.takeGathered()
	}
	m.begin(records, now)
}

// takeGathered takes as many records as one write may add.
func (m *Machine) takeGathered() []Record {
	size, count := 0, 0
	for count < len(m.gathered) && (count == 0 || size+m.gathered[count].size() <= maxWriteBytes) {
		size += m.gathered[count].size()
		count++
	}
	taken := slices.Clone(m.gathered[:count])
	m.gathered = slices.Delete(m.gathered, 0, count)
	return taken
}

func (m *Machine) begin(records []Record, now time.Time) {
	m.writes++
	batch := &Batch{Owner: m.config.Owner, WriteID: m.config.Owner + "#" + strconv.FormatUint(m.writes, 10)}
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
	m.write = &write{slot: at, ifVersion: m.slots[at].version, batch: batch, added: records}
	m.notNow = now.Add(m.config.Flush)
	m.callWrite()
}

func (m *Machine) callWrite() {
	m.write.phase = phaseWriting
	m.nextOps = append(m.nextOps, Op{Kind: OpWrite, Slot: m.write.slot, IfVersion: m.write.ifVersion, Batch: m.write.batch})
}

func (m *Machine) callReadBack() {
	m.write.phase = phaseReadBack
	m.nextOps = append(m.nextOps, Op{Kind: OpRead, Slot: m.write.slot})
}

// WriteDone tells the result of an OpWrite; version is the slot's new version
// if it was applied.
func (m *Machine) WriteDone(result WriteResult, version uint64, now time.Time) {
	if m.write == nil || m.write.phase != phaseWriting {
		return
	}
	switch result {
	case WriteApplied:
		m.applied(version, now)
	case WriteConflict:
		// An earlier try of this same write may have won: read to be sure.
		m.callReadBack()
	case WriteRejected:
		m.backOff(now)
		m.callWrite()
	case WriteUnknown:
		m.backOff(now)
		m.callReadBack()
	}
}

// readBack settles a write whose result was not certain.
func (m *Machine) readBack(r ReadResult, now time.Time) {
	switch {
	case r.Failed:
		m.backOff(now)
		m.callReadBack()
	case r.Batch != nil && r.Batch.WriteID == m.write.batch.WriteID:
		m.applied(r.Version, now)
	case r.Version == m.write.ifVersion:
		m.callWrite()
	case m.state == stateClaiming && m.wanted:
		m.write = nil
		m.rereadFrom(r)
	default:
		m.deposed(now)
	}
}

func (m *Machine) applied(version uint64, now time.Time) {
	m.worked()
	w := m.write
	m.write = nil
	m.head = w.batch
	m.slots[w.slot] = slot{version: version, seq: w.batch.Seq, newest: w.batch.newest()}
	if m.state == stateClaiming && m.wanted {
		m.takenOver(now)
		return
	}
	m.settle(w)
	m.resignIfDone()
}

// settle answers those whose reservations have become durable.
func (m *Machine) settle(w *write) {
	for i := range w.added {
		r := &w.added[i]
		k := m.keys[r.Key]
		if r.Kind != KindReserve || k == nil || k.attempt != r.Attempt {
			continue // no reservation, or released since
		}
		k.durable = true
		if k.waiting {
			k.waiting = false
			m.answers = append(m.answers, Answer{Attempt: k.attempt, Reserved: true})
		}
	}
}

// deposed ends the ownership: another owner has written the journal. If this
// process is to own it still, it takes it over again after a wait. What waits
// for a reservation asks again then, and what was not recorded is recorded.
func (m *Machine) deposed(now time.Time) {
	if !m.wanted {
		m.resign("another scheduler has taken the pool's journal over")
		return
	}
	if now.Sub(m.ownerSince) >= retakeForgiven {
		m.retake = 0
	}
	m.retake = min(maxRetake, max(firstRetake, 2*m.retake))
	m.holdRecords(m.write.added)
	m.holdRecords(m.gathered)
	for name, k := range m.keys {
		if k.waiting {
			ask := Ask{Key: name, Attempt: k.attempt, Fingerprint: k.fingerprint}
			m.held = append(m.held, func(now time.Time) { m.Ask(ask, now) })
		}
	}
	m.forget()
	m.notNow = now.Add(m.retake + time.Duration(m.config.Random.Int64N(int64(m.retake))))
}

// holdRecords keeps what entries told and was not recorded for the next
// takeover.
func (m *Machine) holdRecords(records []Record) {
	for _, r := range records {
		switch r.Kind {
		case KindRelease:
			if r.byEntry {
				m.held = append(m.held, func(now time.Time) { m.Release(r.Key, r.Attempt, true, now) })
			}
		case KindFinish:
			m.held = append(m.held, func(now time.Time) { m.Finish(r, now) })
		}
	}
}

func (m *Machine) slotOf(seq uint64) int { return int(seq % uint64(len(m.slots))) }

func (m *Machine) headFull() bool { return m.head.size() >= m.config.SlotBytes }

// hasRoom tells whether the next write overwrites only what may be
// forgotten. A key is accepted until the retention after its time, which may
// be the skew after the record's.
func (m *Machine) hasRoom(now time.Time) bool {
	if m.head == nil || !m.headFull() {
		return true
	}
	next := m.slots[m.slotOf(m.head.Seq+1)]
	return next.version == 0 || now.After(next.newest.Add(m.config.Retention+m.config.Skew))
}
