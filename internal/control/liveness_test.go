package control

import (
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"

	"kingcupcourse/internal/decision/membership"
	"kingcupcourse/internal/message"
)

// TestWrongSuspicionIsRefuted tells all processes that b, which is alive, did
// not answer.
func TestWrongSuspicionIsRefuted(t *testing.T) {
	t.Parallel()
	f := newPlatform(t)
	listeners, addresses := listen(t, 2)
	a := start(t, listeners[0], "a", f.url, addresses...)
	b := start(t, listeners[1], "b", f.url, addresses...)
	a.await(t, soon, "both members", func(v *View) bool { return len(v.Members) == 2 })
	suspect := b.Self()
	suspect.Suspect = true
	rank := uint64(time.Now().Add(5 * time.Second).UnixMilli())
	err := a.Report(message.Fact{Kind: message.FactMember, Key: membership.Key(suspect), Rank: rank, Value: encodeValue(suspect)})
	if err != nil {
		t.Fatal(err)
	}
	a.await(t, soon, "suspicion", func(v *View) bool { return len(v.Members) == 2 && v.Members[1].Suspect })
	a.await(t, membership.SuspectTimeout, "b announced again", func(v *View) bool {
		return len(v.Members) == 2 && !v.Members[1].Suspect
	})
}

// TestRestartedProcessIsFoundAgain restarts b at its address after it was
// taken for dead.
func TestRestartedProcessIsFoundAgain(t *testing.T) {
	t.Parallel()
	f := newPlatform(t)
	listeners, addresses := listen(t, 2)
	a := start(t, listeners[0], "a", f.url, addresses...)
	b := start(t, listeners[1], "b", f.url)
	a.await(t, soon, "both members", func(v *View) bool { return len(v.Members) == 2 })
	b.stop()
	a.await(t, 2*soon, "b gone", func(v *View) bool { return len(v.Members) == 1 })
	start(t, listenAt(t, addresses[1]), "b", f.url)
	a.await(t, 2*soon, "b back", func(v *View) bool { return len(v.Members) == 2 && !v.Members[1].Suspect })
}

// TestIdleTrafficIsSmall bounds what a process spends while nothing happens,
// calls served included.
func TestIdleTrafficIsSmall(t *testing.T) {
	t.Parallel()
	const (
		settle  = time.Second
		measure = 3 * time.Second
		limit   = 1800.0 // bytes a second of one process
	)
	f := newPlatform(t)
	f.set("manifest", 1, manifestOf("one"))
	processes := startSeven(t, f)
	for _, p := range processes {
		p.await(t, soon, "seven members", func(v *View) bool { return len(v.Members) == 7 })
	}
	time.Sleep(settle)
	before := bytesOf(t, processes)
	time.Sleep(measure)
	// What one process sends in a call another one serves.
	rate := 2 * (bytesOf(t, processes) - before) / measure.Seconds() / float64(len(processes))
	t.Logf("%.0f bytes a second for each process", rate)
	if rate > limit {
		t.Errorf("%.0f bytes a second for each process, want at most %.0f", rate, limit)
	}
}

func bytesOf(t *testing.T, processes []*process) (total float64) {
	t.Helper()
	for _, p := range processes {
		for _, direction := range []string{"sent", "received"} {
			var m dto.Metric
			if err := p.members.metrics.peerBytes.WithLabelValues(direction).Write(&m); err != nil {
				t.Fatal(err)
			}
			total += m.GetCounter().GetValue()
		}
	}
	return total
}

// TestReadyOnlyWithTheOtherMembers checks that a process that starts decides
// nothing before it knows who else is there, and has a manifest only then.
func TestReadyOnlyWithTheOtherMembers(t *testing.T) {
	t.Parallel()
	f := newPlatform(t)
	f.set("manifest", 1, manifestOf("one"))
	processes := startSeven(t, f)
	for _, p := range processes {
		p.await(t, soon, "seven members", func(v *View) bool { return len(v.Members) == 7 })
	}
	known := processes[0].Self().Address
	listeners, _ := listen(t, 1)
	late := start(t, listeners[0], "late", f.url, known)
	first := late.await(t, soon, "a manifest", func(v *View) bool { return v.Manifest != nil })
	if len(first.Members) != 8 {
		t.Fatalf("the first view with a manifest has %d members, want 8", len(first.Members))
	}
}
