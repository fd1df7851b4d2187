//go:build capacity

package caller

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"runtime"
	"syscall"
	"testing"
	"time"

	"kingcupcourse/internal/capacity"
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/journal"
)

// slotCount is larger than the number of slots that any measured point uses.
const slotCount = 8192

// slotStore is an in-memory platform that holds the slots of one journal as
// JSON.
type slotStore struct {
	values       map[int][]byte
	versions     map[int]uint64
	writes       int
	bytesWritten int
	bytesRead    int
}

// executeOps executes the calls that a machine requests.
func (s *slotStore) executeOps(t *testing.T, m *journal.Machine, now time.Time) {
	for ops := m.Ops(now); len(ops) > 0; ops = m.Ops(now) {
		for _, op := range ops {
			if op.Kind == journal.OpRead {
				s.serveRead(t, m, op, now)
				continue
			}
			text, err := json.Marshal(encode(op.Batch))
			if err != nil {
				t.Fatal(err)
			}
			s.values[op.Slot], s.versions[op.Slot] = text, s.versions[op.Slot]+1
			s.writes++
			s.bytesWritten += len(text)
			m.WriteDone(journal.WriteApplied, s.versions[op.Slot], now)
		}
	}
}

func (s *slotStore) serveRead(t *testing.T, m *journal.Machine, op journal.Op, now time.Time) {
	result := journal.ReadResult{Slot: op.Slot, Version: s.versions[op.Slot]}
	if text := s.values[op.Slot]; text != nil {
		batch, err := decode(text)
		if err != nil {
			t.Fatal(err)
		}
		result.Batch = batch
		s.bytesRead += len(text)
	}
	m.ReadDone(result, now)
}

func newMachine(owner string, count int) *journal.Machine {
	return journal.New(journal.Config{Owner: owner, Slots: count, Retention: time.Hour, ClockSkew: 5 * time.Second,
		MinWriteInterval: 10 * time.Millisecond, Rand: rand.New(rand.NewPCG(1, 1))})
}

// TestCapacityJournal measures how the number of keys in the journal of one pool
// affects the slots used, the memory of the owner, and the reads and processor
// time of a takeover. Each key has one finished attempt with a short response.
func TestCapacityJournal(t *testing.T) {
	const perWrite, responseBytes = 20, 200
	var s capacity.Series
	for _, keys := range []int{1000, 5000, 20_000, 80_000} {
		stored := &slotStore{values: map[int][]byte{}, versions: map[int]uint64{}}
		m := newMachine("first", slotCount)
		now := time.Now()
		m.SetOwnership(true, now)
		for !m.IsOwner() {
			now = now.Add(20 * time.Millisecond)
			stored.executeOps(t, m, now)
		}
		stored.writes, stored.bytesWritten = 0, 0
		for n := 0; n < keys; n += perWrite {
			now = now.Add(20 * time.Millisecond)
			addKeys(m, n, perWrite, responseBytes, now)
			stored.executeOps(t, m, now)
		}
		m.TakeReplies()
		x := float64(keys)
		s.Add("slots used", x, float64(len(stored.values)))
		s.Add("MiB in the platform", x, float64(totalBytes(stored.values))/(1<<20))
		s.Add("kB written for a key (20 keys a write)", x, float64(stored.bytesWritten)/float64(keys)/1000)
		takeover(t, &s, stored, x, now)
	}
	if err := s.Write(filepath.Join("..", "..", "..", "..", "..", "..", "docs", "capacity", "journal.csv")); err != nil {
		t.Error(err)
	}
	t.Logf("\n%s", capacity.Table(&s, 100_000))
}

// addKeys reserves count keys and finishes their attempts.
func addKeys(m *journal.Machine, from, count, responseBytes int, now time.Time) {
	for n := from; n < from+count; n++ {
		ms := now.UnixMilli()
		key := fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n)
		attempt := fmt.Sprintf("00000000-0000-4000-8000-%012x", n)
		fingerprint := fmt.Sprintf("%064x", n)
		m.Reserve(journal.ReserveRequest{Key: key, Attempt: attempt, Fingerprint: fingerprint}, now)
		m.Finish(journal.Record{Kind: journal.KindFinish, Key: key, Attempt: attempt, Fingerprint: fingerprint, Time: now,
			Result: core.ResultOK, Status: 201, ResponseBody: make([]byte, responseBytes), ContentType: "application/json", ResponseComplete: true}, now)
	}
}

// takeover measures the takeover of the journal by a second owner.
func takeover(t *testing.T, s *capacity.Series, stored *slotStore, x float64, now time.Time) {
	heapBefore, cpuBefore := heapBytes(), cpuTime()
	m := newMachine("second", slotCount)
	m.SetOwnership(true, now)
	for !m.IsOwner() {
		now = now.Add(20 * time.Millisecond)
		stored.executeOps(t, m, now)
	}
	s.Add("ms processor of a takeover", x, float64((cpuTime()-cpuBefore).Microseconds())/1000)
	s.Add("MiB read by a takeover", x, float64(stored.bytesRead)/(1<<20))
	s.Add("owner heap MiB for the keys", x, (heapBytes()-heapBefore)/(1<<20))
	s.Add("keys after the takeover", x, float64(m.KeyCount()))
	runtime.KeepAlive(m)
}

func totalBytes(values map[int][]byte) (bytes int) {
	for _, text := range values {
		bytes += len(text)
	}
	return bytes
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
