package control

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/message"
)

// exchangeTimeout limits waits for a change that takes a few gossip calls.
const exchangeTimeout = 4 * time.Second

func TestFactReachesSevenProcesses(t *testing.T) {
	t.Parallel()
	f := newFakePlatform(t)
	f.set("manifest", 1, testManifest("one"))
	processes := startSevenProcesses(t, f)
	for _, p := range processes {
		p.awaitView(t, exchangeTimeout, "seven members", func(v *View) bool { return len(v.Members) == 7 })
	}
	start := time.Now()
	if err := processes[0].Report(message.Fact{Kind: message.FactPoison, Key: "f1/e1"}); err != nil {
		t.Fatal(err)
	}
	for _, p := range processes {
		p.awaitView(t, exchangeTimeout, "poison mark", func(v *View) bool { return v.PoisonMarks["f1"] == 1 })
	}
	t.Logf("the fact reached all 7 processes after %v", time.Since(start))
}

func startSevenProcesses(t *testing.T, f *fakePlatform) []*process {
	t.Helper()
	listeners, addresses := newListeners(t, 7)
	var processes []*process
	for i, l := range listeners {
		processes = append(processes, startProcess(t, l, fmt.Sprint("h", i), f.url, addresses...))
	}
	return processes
}

func TestManifestSpreadsWithoutPlatform(t *testing.T) {
	t.Parallel()
	f, unreachable := newFakePlatform(t), newFakePlatform(t)
	f.set("manifest", 1, testManifest("one"))
	unreachable.inject(func(f *fakePlatform) { f.outage = true })
	listeners, addresses := newListeners(t, 3)
	a := startProcess(t, listeners[0], "a", f.url, addresses...)
	awaitReady(t, a)
	b := startProcess(t, listeners[1], "b", unreachable.url, addresses...)
	c := startProcess(t, listeners[2], "c", unreachable.url, addresses...)
	awaitReady(t, b)
	awaitReady(t, c)
	f.set("manifest", 2, testManifest("two"))
	for _, p := range []*process{a, b, c} {
		p.awaitView(t, exchangeTimeout, "version 2", hasManifestVersion(2))
	}
}

func TestConfigurationNeverReverts(t *testing.T) {
	t.Parallel()
	f, stale := newFakePlatform(t), newFakePlatform(t)
	f.set("manifest", 5, testManifest("five"))
	stale.set("manifest", 3, testManifest("three"))
	listeners, addresses := newListeners(t, 3)
	a := startProcess(t, listeners[0], "a", f.url)
	a.awaitView(t, exchangeTimeout, "version 5", hasManifestVersion(5))

	// A process that restarts and reads stale objects has the version of its
	// peer by the time it is ready.
	b := startProcess(t, listeners[1], "b", stale.url, addresses[0])
	awaitReady(t, b)
	b.awaitView(t, exchangeTimeout, "version 5", hasManifestVersion(5))

	// Stale and invalid versions from a watch are not put into force.
	f.set("manifest", 4, testManifest("four"))
	f.inject(func(f *fakePlatform) { f.version = 6 })
	f.set("manifest", 6, []string{"not a manifest"})
	c := startProcess(t, listeners[2], "c", f.url, addresses[1])
	awaitReady(t, c)
	status := fetchStatus(t, a)
	if status.ManifestVersion != 5 || status.Deployment != "five" {
		t.Fatalf("version %d, %q in force; want 5, five", status.ManifestVersion, status.Deployment)
	}
	for deadline := time.Now().Add(exchangeTimeout); fetchStatus(t, a).RejectedVersion != 6; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the invalid manifest was not refused")
		}
	}
}

func fetchStatus(t *testing.T, p *process) *message.Status {
	t.Helper()
	status := new(message.Status)
	err := codec.Call(t.Context(), http.DefaultClient, p.self.Address, message.PathStatus, message.StatusRequest{}, status)
	if err != nil {
		t.Fatal(err)
	}
	return status
}

func TestNotReadyWithoutResponses(t *testing.T) {
	t.Parallel()
	f := newFakePlatform(t)
	f.inject(func(f *fakePlatform) { f.outage = true })
	listeners, _ := newListeners(t, 1)
	a := startProcess(t, listeners[0], "a", f.url, "127.0.0.1:1")
	time.Sleep(500 * time.Millisecond)
	if a.Ready() {
		t.Fatal("ready without a manifest")
	}
	f.set("manifest", 1, testManifest("one"))
	f.inject(func(f *fakePlatform) { f.outage = false })
	awaitReady(t, a)
}

func TestDrainingAndDeadMembers(t *testing.T) {
	t.Parallel()
	f := newFakePlatform(t)
	listeners, addresses := newListeners(t, 3)
	a := startProcess(t, listeners[0], "a", f.url, addresses...)
	b := startProcess(t, listeners[1], "b", f.url, addresses...)
	c := startProcess(t, listeners[2], "c", f.url, addresses...)
	a.awaitView(t, exchangeTimeout, "three members", func(v *View) bool { return len(v.Members) == 3 })
	if err := b.AnnounceDraining(t.Context()); err != nil {
		t.Fatal(err)
	}
	a.awaitView(t, time.Second, "b draining", func(v *View) bool { return len(v.Members) == 3 && v.Members[1].Draining })
	c.stop()
	a.awaitView(t, 5*time.Second, "c gone", func(v *View) bool { return len(v.Members) == 2 })
}

func TestDrainingEndpoints(t *testing.T) {
	t.Parallel()
	f := newFakePlatform(t)
	f.set("hosts", 1, message.HostList{Endpoints: []message.ListedEndpoint{
		{Name: "e1", State: message.ListedDraining}, {Name: "e2", State: message.ListedLive}}})
	listeners, addresses := newListeners(t, 2)
	a := startProcess(t, listeners[0], "a", f.url, addresses...)
	b := startProcess(t, listeners[1], "b", f.url, addresses...)
	b.awaitView(t, exchangeTimeout, "e1 draining", func(v *View) bool { return v.Draining["e1"] && !v.Draining["e2"] })
	if err := a.ReportDraining("e2"); err != nil {
		t.Fatal(err)
	}
	b.awaitView(t, exchangeTimeout, "e2 draining", func(v *View) bool { return v.Draining["e2"] })
}

func TestVerdictsFromPlatform(t *testing.T) {
	t.Parallel()
	f := newFakePlatform(t)
	f.set("verdicts/p/v2", 1, message.BadVersion{Pool: "p", Version: "v2", Reason: "errors"})
	f.set("status/moves/m1", 2, message.MoveStage{Move: "m1", Pool: "p", Stage: message.StageReverted})
	listeners, _ := newListeners(t, 1)
	a := startProcess(t, listeners[0], "a", f.url)
	a.awaitView(t, exchangeTimeout, "verdict and stage", func(v *View) bool {
		return len(v.BadVersions) == 1 && v.Moves["m1"].Stage == message.StageReverted
	})
}

func TestSilentWatchRecovers(t *testing.T) {
	t.Parallel()
	f := newFakePlatform(t)
	f.set("manifest", 1, testManifest("one"))
	f.inject(func(f *fakePlatform) { f.silentWatches = 2 }) // one watch each of manifest and hosts
	listeners, _ := newListeners(t, 1)
	a := startProcess(t, listeners[0], "a", f.url)
	a.awaitView(t, exchangeTimeout, "version 1", hasManifestVersion(1))
	f.set("manifest", 2, testManifest("two"))
	a.awaitView(t, watchWait+5*time.Second, "version 2", hasManifestVersion(2))
}

func TestKilledDutiesResume(t *testing.T) {
	t.Parallel()
	f := newFakePlatform(t)
	f.set("manifest", 1, testManifest("one"))
	listeners, addresses := newListeners(t, 2)
	a := startProcess(t, listeners[0], "a", f.url, addresses...)
	b := startProcess(t, listeners[1], "b", f.url, addresses...)
	awaitReady(t, a)
	for _, duty := range []string{"configuration", "members", "watch-manifest", "probe", "fetch-0"} {
		if err := a.Supervisor().Kill(duty); err != nil {
			t.Fatal(err)
		}
	}
	f.set("manifest", 2, testManifest("two"))
	a.awaitView(t, exchangeTimeout, "version 2 and both members", func(v *View) bool {
		return v.ManifestVersion == 2 && len(v.Members) == 2
	})
	b.awaitView(t, exchangeTimeout, "both members", func(v *View) bool { return len(v.Members) == 2 })
}
