package journal

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kingcupcourse/internal/core"
)

// object is a slot object in the simulated platform.
type object struct {
	version uint64
	batch   *Batch
}

// sim runs two competing owners against one simulated platform.
type sim struct {
	t       *rapid.T
	now     time.Time
	objects map[int]object
	version uint64
	owners  []*simOwner
	created int
	// delayedWrites holds the writes whose response was lost and that may still
	// be applied.
	delayedWrites []Op
	// dispatched holds the attempt that was dispatched for each key.
	dispatched map[string]string
	attempts   int
}

type simOwner struct {
	machine *Machine
	ops     []Op
	// keys holds the key of each attempt that was requested from this owner.
	keys map[string]string
	// granted holds the attempts that this owner granted.
	granted map[string]bool
}

const simSlots = 4

func newSim(t *rapid.T) *sim {
	s := &sim{t: t, now: time.UnixMilli(1_700_000_000_000), objects: map[int]object{}, dispatched: map[string]string{}}
	for range 2 {
		s.owners = append(s.owners, s.newOwner())
	}
	return s
}

func (s *sim) newOwner() *simOwner {
	s.created++
	return &simOwner{keys: map[string]string{}, granted: map[string]bool{}, machine: New(Config{
		Owner: fmt.Sprintf("owner-%d", s.created), Slots: simSlots, Retention: time.Hour, ClockSkew: time.Second,
		MinWriteInterval: time.Millisecond, SlotBytes: 250, Rand: rand.New(rand.NewPCG(1, uint64(s.created)))})}
}

func simKey(at time.Time, n int) string {
	ms := at.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n)
}

// step collects the operations of one owner and handles its replies.
func (s *sim) step(o *simOwner) {
	o.ops = append(o.ops, o.machine.Ops(s.now)...)
	writes := 0
	for _, op := range o.ops {
		if op.Kind == OpWrite {
			writes++
		}
	}
	if writes > 1 {
		s.t.Fatal("two writes in flight")
	}
	for _, reply := range o.machine.TakeReplies() {
		s.handleReply(o, reply)
	}
}

// handleReply acts as the entry: it dispatches or releases a reservation.
func (s *sim) handleReply(o *simOwner, reply Reply) {
	key, requested := o.keys[reply.Attempt]
	if !reply.Reserved || !requested {
		return
	}
	if rapid.Bool().Draw(s.t, "refused by the queue") && s.dispatched[key] != reply.Attempt {
		s.releaseByEntry(o, reply.Attempt)
		return
	}
	if before, ok := s.dispatched[key]; ok && before != reply.Attempt {
		s.t.Fatalf("key %s was dispatched as attempt %s and again as %s", key, before, reply.Attempt)
	}
	s.dispatched[key] = reply.Attempt
	o.granted[reply.Attempt] = true
}

// releaseByQueue acts as the queue of an owner after the call of an entry broke
// before a grant. The entry may continue with the attempt at another owner.
func (s *sim) releaseByQueue(o *simOwner, attempt string) {
	if !o.granted[attempt] {
		o.machine.Release(o.keys[attempt], attempt, false, s.now)
	}
}

// releaseByEntry releases an attempt that was not dispatched. Its entry never
// requests it again.
func (s *sim) releaseByEntry(o *simOwner, attempt string) {
	o.machine.Release(o.keys[attempt], attempt, true, s.now)
	for _, owner := range s.owners {
		delete(owner.keys, attempt)
	}
}

// anyAttempt draws one of the attempts that were requested from an owner.
func (s *sim) anyAttempt(o *simOwner) string {
	if len(o.keys) == 0 {
		s.t.Skip("no attempt yet")
	}
	return rapid.SampledFrom(slices.Sorted(maps.Keys(o.keys))).Draw(s.t, "attempt")
}

// runOneOp runs a random operation of an owner with a random fault or none.
func (s *sim) runOneOp(o *simOwner) {
	if len(o.ops) == 0 {
		return
	}
	at := rapid.IntRange(0, len(o.ops)-1).Draw(s.t, "op")
	s.runOp(o, at, rapid.SampledFrom([]string{"", "", "", "lost", "dropped", "late", "rejected"}).Draw(s.t, "fault"))
}

// run runs up to the given number of operations of one owner without faults.
func (s *sim) run(o *simOwner, calls int) {
	for range calls {
		s.now = s.now.Add(2 * time.Millisecond)
		s.step(o)
		if len(o.ops) > 0 {
			s.runOp(o, 0, "")
		}
	}
	s.step(o)
}

func (s *sim) runOp(o *simOwner, at int, fault string) {
	op := o.ops[at]
	o.ops = slices.Delete(o.ops, at, at+1)
	if op.Kind == OpRead {
		found := s.objects[op.Slot]
		o.machine.ReadDone(ReadResult{Slot: op.Slot, Failed: fault != "", Version: found.version, Batch: found.batch}, s.now)
		return
	}
	switch fault {
	case "":
		result, version := s.applyWrite(op)
		o.machine.WriteDone(result, version, s.now)
	case "lost":
		s.applyWrite(op)
		o.machine.WriteDone(WriteUnknown, 0, s.now)
	case "late":
		s.delayedWrites = append(s.delayedWrites, op)
		o.machine.WriteDone(WriteUnknown, 0, s.now)
	case "dropped":
		o.machine.WriteDone(WriteUnknown, 0, s.now)
	case "rejected":
		o.machine.WriteDone(WriteRejected, 0, s.now)
	}
}

func (s *sim) applyWrite(op Op) (WriteResult, uint64) {
	if s.objects[op.Slot].version != op.IfVersion {
		return WriteConflict, 0
	}
	s.version++
	batch := *op.Batch
	s.objects[op.Slot] = object{version: s.version, batch: &batch}
	return WriteApplied, s.version
}

func (s *sim) randomOwner() *simOwner {
	return s.owners[rapid.IntRange(0, len(s.owners)-1).Draw(s.t, "owner")]
}

// TestAtMostOnce runs competing owners with lost responses, delayed writes,
// changes of ownership and crashes, and checks that no two attempts of a key
// are dispatched.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		start := s.now
		t.Repeat(map[string]func(*rapid.T){
			"own": func(t *rapid.T) {
				o := s.randomOwner()
				o.machine.SetOwnership(rapid.IntRange(0, 4).Draw(t, "wanted") > 0, s.now)
				s.step(o)
			},
			"ask": func(t *rapid.T) {
				o := s.randomOwner()
				key := simKey(start, rapid.IntRange(0, 5).Draw(t, "key"))
				s.attempts++
				attempt := fmt.Sprintf("attempt-%d", s.attempts)
				o.keys[attempt] = key
				o.machine.Reserve(ReserveRequest{Key: key, Attempt: attempt, Fingerprint: "f"}, s.now)
				s.step(o)
			},
			"ask again elsewhere": func(t *rapid.T) {
				from, to := s.randomOwner(), s.randomOwner()
				attempt := s.anyAttempt(from)
				to.keys[attempt] = from.keys[attempt]
				to.machine.Reserve(ReserveRequest{Key: to.keys[attempt], Attempt: attempt, Fingerprint: "f"}, s.now)
				s.step(to)
			},
			"give up": func(t *rapid.T) {
				o := s.randomOwner()
				attempt := s.anyAttempt(o)
				if s.dispatched[o.keys[attempt]] != attempt {
					s.releaseByEntry(o, attempt)
				}
			},
			"withdraw": func(t *rapid.T) {
				o := s.randomOwner()
				s.releaseByQueue(o, s.anyAttempt(o))
				s.step(o)
			},
			"call": func(t *rapid.T) {
				o := s.randomOwner()
				s.runOneOp(o)
				s.step(o)
			},
			"settle": func(t *rapid.T) {
				s.run(s.randomOwner(), rapid.IntRange(1, 20).Draw(t, "calls"))
			},
			"late write": func(t *rapid.T) {
				if len(s.delayedWrites) == 0 {
					t.Skip("none")
				}
				at := rapid.IntRange(0, len(s.delayedWrites)-1).Draw(t, "which")
				s.applyWrite(s.delayedWrites[at])
				s.delayedWrites = slices.Delete(s.delayedWrites, at, at+1)
			},
			"finish": func(t *rapid.T) {
				key := simKey(start, rapid.IntRange(0, 5).Draw(t, "key"))
				if attempt, ok := s.dispatched[key]; ok {
					o := s.randomOwner()
					o.machine.Finish(Record{Key: key, Attempt: attempt, Result: core.ResultOK, Status: 201}, s.now)
					s.step(o)
				}
			},
			"crash": func(t *rapid.T) {
				if rapid.IntRange(0, 4).Draw(t, "seldom") == 0 {
					s.owners[rapid.IntRange(0, 1).Draw(t, "which")] = s.newOwner()
				}
			},
			"wait": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

// newHealthyMachine returns a machine, the objects it has written, and a
// function that runs all its operations without faults.
func newHealthyMachine(t *testing.T) (*Machine, map[int]object, func(time.Time)) {
	t.Helper()
	m := New(Config{Owner: "o", Slots: simSlots, Retention: time.Hour, ClockSkew: time.Second, SlotBytes: 500,
		Rand: rand.New(rand.NewPCG(1, 1))})
	objects, version := map[int]object{}, uint64(0)
	run := func(now time.Time) {
		for ops := m.Ops(now); len(ops) > 0; ops = m.Ops(now) {
			for _, op := range ops {
				if op.Kind == OpRead {
					m.ReadDone(ReadResult{Slot: op.Slot, Version: objects[op.Slot].version, Batch: objects[op.Slot].batch}, now)
					continue
				}
				version++
				objects[op.Slot] = object{version: version, batch: op.Batch}
				m.WriteDone(WriteApplied, version, now)
			}
		}
	}
	return m, objects, run
}

func TestReserveReplyDependsOnKeyState(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	m, _, run := newHealthyMachine(t)
	m.SetOwnership(true, now)
	run(now)
	reserve := func(key, attempt, fingerprint string) Reply {
		m.Reserve(ReserveRequest{Key: key, Attempt: attempt, Fingerprint: fingerprint}, now)
		run(now)
		replies := m.TakeReplies()
		if len(replies) != 1 {
			t.Fatalf("got %d replies, want 1", len(replies))
		}
		return replies[0]
	}
	finished, lost, unfinished, released := simKey(now, 1), simKey(now, 2), simKey(now, 3), simKey(now, 4)
	for _, key := range []string{finished, lost, unfinished, released} {
		if !reserve(key, "a", "f").Reserved {
			t.Fatalf("key %s was not reserved", key)
		}
	}
	m.Finish(Record{Key: finished, Attempt: "a", Result: core.ResultOK, Status: 201, ResponseBody: []byte("x"), ResponseComplete: true}, now)
	m.Finish(Record{Key: lost, Attempt: "a", Result: core.ResultLost}, now)
	m.Release(released, "a", true, now)
	run(now)
	for _, test := range []struct {
		name, key, attempt, fingerprint string
		want                            string
	}{
		{"finished", finished, "b", "f", "prior"},
		{"lost", lost, "b", "f", string(core.OutcomeUnknown)},
		{"unfinished, another attempt", unfinished, "b", "f", string(core.OutcomeUnknown)},
		{"unfinished, same attempt", unfinished, "a", "f", "reserved"},
		{"different fingerprint", unfinished, "a", "g", string(core.ReasonKeyReused)},
		{"released", released, "b", "f", "reserved"},
		{"older than the retention", simKey(now.Add(-2*time.Hour), 1), "b", "f", string(core.ReasonKeyExpired)},
		{"from the future", simKey(now.Add(time.Minute), 1), "b", "f", string(core.ReasonKeyExpired)},
		{"not a UUIDv7", "key", "b", "f", string(core.ReasonKeyExpired)},
	} {
		if got := describe(reserve(test.key, test.attempt, test.fingerprint)); got != test.want {
			t.Errorf("%s: got %s, want %s", test.name, got, test.want)
		}
	}
}

func TestResigningOwnerFlushesPendingRecords(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	m, objects, run := newHealthyMachine(t)
	m.SetOwnership(true, now)
	run(now)
	m.Reserve(ReserveRequest{Key: simKey(now, 1), Attempt: "a", Fingerprint: "f"}, now)
	run(now)
	m.Finish(Record{Key: simKey(now, 1), Attempt: "a", Result: core.ResultOK, Status: 201}, now)
	m.SetOwnership(false, now)
	m.Reserve(ReserveRequest{Key: simKey(now, 2), Attempt: "a", Fingerprint: "f"}, now)
	run(now)
	records := objects[0].batch.Records
	if last := records[len(records)-1]; last.Kind != KindFinish || last.Key != simKey(now, 1) {
		t.Fatalf("got last record %+v, want the finish of the first key", last)
	}
	if m.IsOwner() || !m.Idle() {
		t.Fatal("the machine still owns the journal or is not idle")
	}
}

func TestRefusalIsNotRunOnlyIfNoAttemptCanHaveRun(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	m, _, run := newHealthyMachine(t)
	refusal := core.Refuse(core.ReasonShed, "full")
	refuse := func(n int, attempt string) string {
		m.RefuseUnreserved(ReserveRequest{Key: simKey(now, n), Attempt: attempt, Fingerprint: "f"}, refusal, now)
		return describe(m.TakeReplies()[0])
	}
	if got := refuse(1, "a"); got != string(core.OutcomeUnknown) {
		t.Errorf("before the takeover: got %s, want an unknown outcome", got)
	}
	m.SetOwnership(true, now)
	run(now)
	m.Reserve(ReserveRequest{Key: simKey(now, 1), Attempt: "a", Fingerprint: "f"}, now)
	run(now)
	m.TakeReplies()
	for _, test := range []struct {
		key     int
		attempt string
		want    string
	}{{1, "a", string(core.ReasonShed)}, {1, "b", string(core.OutcomeUnknown)}, {2, "a", string(core.ReasonShed)}} {
		if got := refuse(test.key, test.attempt); got != test.want {
			t.Errorf("key %d, attempt %s: got %s, want %s", test.key, test.attempt, got, test.want)
		}
	}
}

func describe(reply Reply) string {
	switch {
	case reply.Reserved:
		return "reserved"
	case reply.PriorOutcome != nil:
		return "prior"
	case reply.Refusal.Disposition != core.NotRun:
		return string(reply.Refusal.Disposition)
	default:
		return string(reply.Refusal.Reason)
	}
}

// TestFullJournalRefusesNewKeys fills all slots within the retention period and
// checks that keys are accepted again once the oldest slot has expired.
func TestFullJournalRefusesNewKeys(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	m, objects, run := newHealthyMachine(t)
	m.SetOwnership(true, now)
	run(now)
	reserve := func(n int) Reply {
		m.Reserve(ReserveRequest{Key: simKey(now, n), Attempt: "a", Fingerprint: "f"}, now)
		run(now)
		return m.TakeReplies()[0]
	}
	reserved := 0
	for reserve(reserved).Reserved {
		reserved++
	}
	if len(objects) != simSlots || reserved < 3*simSlots {
		t.Fatalf("journal is full with %d keys in %d slots", reserved, len(objects))
	}
	if reply := reserve(reserved); reply.Refusal.Reason != core.ReasonJournalUnavailable || reply.Refusal.RetryAfter == 0 {
		t.Fatalf("full journal: got refusal %+v", reply.Refusal)
	}
	now = now.Add(time.Hour + 2*time.Second)
	if reply := reserve(reserved); !reply.Reserved {
		t.Fatalf("after the retention period: got refusal %+v", reply.Refusal)
	}
}

func TestRecordsAreBatchedIntoOneWrite(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	m, objects, run := newHealthyMachine(t)
	m.SetOwnership(true, now)
	run(now)
	for n := range 5 {
		m.Reserve(ReserveRequest{Key: simKey(now, n), Attempt: "a", Fingerprint: "f"}, now)
	}
	before := m.writeCount
	run(now)
	if m.writeCount != before+1 || len(objects[0].batch.Records) != 6 {
		t.Fatalf("got %d writes and %d records, want 1 and 6", m.writeCount-before, len(objects[0].batch.Records))
	}
}

func BenchmarkReserveAndFinish(b *testing.B) {
	now := time.UnixMilli(1_700_000_000_000)
	m := New(Config{Owner: "o", Slots: simSlots, Retention: time.Millisecond, Rand: rand.New(rand.NewPCG(1, 1))})
	m.SetOwnership(true, now)
	for _, op := range m.Ops(now) {
		m.ReadDone(ReadResult{Slot: op.Slot}, now)
	}
	version := uint64(0)
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		key := simKey(now, i)
		m.Reserve(ReserveRequest{Key: key, Attempt: "a", Fingerprint: "f"}, now)
		m.Finish(Record{Key: key, Attempt: "a", Result: core.ResultOK, Status: 201}, now)
		for range m.Ops(now) {
			version++
			m.WriteDone(WriteApplied, version, now)
		}
		m.TakeReplies()
		m.Prune(now)
	}
}

// TestStaleReleaseDoesNotRemoveReservation guards against a second dispatch of
// a key: the call of an entry to one owner breaks, the next owner grants the
// attempt, and then the first owner takes over again and releases it.
func TestStaleReleaseDoesNotRemoveReservation(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		first, second := s.owners[0], s.owners[1]
		key := simKey(now, 1)
		req := ReserveRequest{Key: key, Attempt: "a", Fingerprint: "f"}
		first.keys["a"], second.keys["a"] = key, key
		if rapid.Bool().Draw(t, "first owned before") {
			first.machine.SetOwnership(true, s.now)
			s.run(first, 20)
		}
		second.machine.SetOwnership(true, s.now)
		s.run(second, 20)
		second.machine.Reserve(req, s.now)
		s.runUntilGranted(second, "a")
		first.machine.SetOwnership(true, s.now)
		first.machine.Reserve(req, s.now)
		first.machine.Release(key, "a", false, s.now)
		s.run(first, 50)
		s.now = s.now.Add(time.Second)
		s.run(first, 50)
		first.keys["b"] = key
		first.machine.Reserve(ReserveRequest{Key: key, Attempt: "b", Fingerprint: "f"}, s.now)
		s.run(first, 20)
	})
}

// runUntilGranted runs the owner and dispatches the attempt, which must be
// granted.
func (s *sim) runUntilGranted(o *simOwner, attempt string) {
	for range 20 {
		s.now = s.now.Add(2 * time.Millisecond)
		o.ops = append(o.ops, o.machine.Ops(s.now)...)
		if len(o.ops) > 0 {
			s.runOp(o, 0, "")
		}
		for _, reply := range o.machine.TakeReplies() {
			if reply.Attempt == attempt && reply.Reserved {
				s.dispatched[o.keys[attempt]] = attempt
				o.granted[attempt] = true
			}
		}
	}
	if !o.granted[attempt] {
		s.t.Fatalf("%s was not granted", attempt)
	}
}
