package control

import (
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"

	"kingcupcourse/internal/decision/membership"
	"kingcupcourse/internal/message"
)

// TestFalseSuspicionIsRefuted publishes a suspicion of b, which is alive. b must
// announce itself again.
func TestFalseSuspicionIsRefuted(t *testing.T) {
	t.Parallel()
	f := newFakePlatform(t)
	listeners, addresses := newListeners(t, 2)
	a := startProcess(t, listeners[0], "a", f.url, addresses...)
	b := startProcess(t, listeners[1], "b", f.url, addresses...)
	a.awaitView(t, exchangeTimeout, "both members", func(v *View) bool { return len(v.Members) == 2 })
	suspect := b.Self()
	suspect.Suspect = true
	rank := uint64(time.Now().Add(5 * time.Second).UnixMilli())
	err := a.Report(message.Fact{Kind: message.FactMember, Key: membership.Key(suspect), Rank: rank, Value: encodeValue(suspect)})
	if err != nil {
		t.Fatal(err)
	}
	a.awaitView(t, exchangeTimeout, "suspicion", func(v *View) bool { return len(v.Members) == 2 && v.Members[1].Suspect })
	a.awaitView(t, membership.SuspectTimeout, "b announced again", func(v *View) bool {
		return len(v.Members) == 2 && !v.Members[1].Suspect
	})
}

// TestRestartedProcessRejoins restarts b at its old address after a
// considered it dead.
func TestRestartedProcessRejoins(t *testing.T) {
	t.Parallel()
	f := newFakePlatform(t)
	listeners, addresses := newListeners(t, 2)
	a := startProcess(t, listeners[0], "a", f.url, addresses...)
	b := startProcess(t, listeners[1], "b", f.url)
	a.awaitView(t, exchangeTimeout, "both members", func(v *View) bool { return len(v.Members) == 2 })
	b.stop()
	a.awaitView(t, 2*exchangeTimeout, "b gone", func(v *View) bool { return len(v.Members) == 1 })
	startProcess(t, listenAt(t, addresses[1]), "b", f.url)
	a.awaitView(t, 2*exchangeTimeout, "b back", func(v *View) bool { return len(v.Members) == 2 && !v.Members[1].Suspect })
}

// TestIdleTrafficIsBounded limits the traffic of a process while nothing changes,
// including the calls that it serves.
func TestIdleTrafficIsBounded(t *testing.T) {
	t.Parallel()
	const (
		settle  = time.Second
		measure = 3 * time.Second
		limit   = 1800.0 // bytes per second and process
	)
	f := newFakePlatform(t)
	f.set("manifest", 1, testManifest("one"))
	processes := startSevenProcesses(t, f)
	for _, p := range processes {
		p.awaitView(t, exchangeTimeout, "seven members", func(v *View) bool { return len(v.Members) == 7 })
	}
	time.Sleep(settle)
	before := peerBytesTotal(t, processes)
	time.Sleep(measure)
	// Each call is counted by its caller only, so a process has twice the traffic
	// that is counted.
	rate := 2 * (peerBytesTotal(t, processes) - before) / measure.Seconds() / float64(len(processes))
	t.Logf("%.0f bytes per second and process", rate)
	if rate > limit {
		t.Errorf("%.0f bytes per second and process, want at most %.0f", rate, limit)
	}
}

func peerBytesTotal(t *testing.T, processes []*process) (total float64) {
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

// TestReadyOnlyAfterMembersAreKnown checks that a starting process gets a manifest,
// and so can make decisions, only once it knows the other members.
func TestReadyOnlyAfterMembersAreKnown(t *testing.T) {
	t.Parallel()
	f := newFakePlatform(t)
	f.set("manifest", 1, testManifest("one"))
	processes := startSevenProcesses(t, f)
	for _, p := range processes {
		p.awaitView(t, exchangeTimeout, "seven members", func(v *View) bool { return len(v.Members) == 7 })
	}
	peer := processes[0].Self().Address
	listeners, _ := newListeners(t, 1)
	late := startProcess(t, listeners[0], "late", f.url, peer)
	first := late.awaitView(t, exchangeTimeout, "a manifest", func(v *View) bool { return v.Manifest != nil })
	if len(first.Members) != 8 {
		t.Fatalf("the first view with a manifest has %d members, want 8", len(first.Members))
	}
}
