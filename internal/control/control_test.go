package control

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/message"
)

// soon bounds what should take a few exchanges.
const soon = 4 * time.Second

func TestFactSpreadsOverSevenProcesses(t *testing.T) {
	t.Parallel()
	f := newPlatform(t)
	f.set("manifest", 1, manifestOf("one"))
	processes := startSeven(t, f)
	for _, p := range processes {
		p.await(t, soon, "seven members", func(v *View) bool { return len(v.Members) == 7 })
	}
	began := time.Now()
	if err := processes[0].Report(message.Fact{Kind: message.FactPoison, Key: "f1/e1"}); err != nil {
		t.Fatal(err)
	}
	for _, p := range processes {
		p.await(t, soon, "poison mark", func(v *View) bool { return v.PoisonMarks["f1"] == 1 })
	}
	t.Logf("a fact reached 7 processes after %v", time.Since(began))
}

func startSeven(t *testing.T, f *fakePlatform) []*process {
	t.Helper()
	listeners, addresses := listen(t, 7)
	var processes []*process
	for i, l := range listeners {
		processes = append(processes, start(t, l, fmt.Sprint("h", i), f.url, addresses...))
	}
	return processes
}

func TestManifestChangeReachesAllWithoutThePlatform(t *testing.T) {
	t.Parallel()
	f, cut := newPlatform(t), newPlatform(t)
	f.set("manifest", 1, manifestOf("one"))
	cut.fault(func(f *fakePlatform) { f.outage = true })
	listeners, addresses := listen(t, 3)
	a := start(t, listeners[0], "a", f.url, addresses...)
	awaitReady(t, a)
	b := start(t, listeners[1], "b", cut.url, addresses...)
	c := start(t, listeners[2], "c", cut.url, addresses...)
	awaitReady(t, b)
	awaitReady(t, c)
	f.set("manifest", 2, manifestOf("two"))
	for _, p := range []*process{a, b, c} {
		p.await(t, soon, "version 2", inForce(2))
	}
}

func TestConfigurationNeverReverts(t *testing.T) {
	t.Parallel()
	f, stale := newPlatform(t), newPlatform(t)
	f.set("manifest", 5, manifestOf("five"))
	stale.set("manifest", 3, manifestOf("three"))
	listeners, addresses := listen(t, 3)
	a := start(t, listeners[0], "a", f.url)
	a.await(t, soon, "version 5", inForce(5))

	// A process that restarts and reads stale objects has what its peer has
	// by the time it is ready.
	b := start(t, listeners[1], "b", stale.url, addresses[0])
	awaitReady(t, b)
	b.await(t, soon, "version 5", inForce(5))

	// A stale answer to a watch changes nothing.
	f.set("manifest", 4, manifestOf("four"))
	f.fault(func(f *fakePlatform) { f.version = 6 })
	f.set("manifest", 6, []string{"not a manifest"})
	c := start(t, listeners[2], "c", f.url, addresses[1])
	awaitReady(t, c)
	status := statusOf(t, a)
	if status.ManifestVersion != 5 || status.Deployment != "five" {
		t.Fatalf("in force: version %d, %q", status.ManifestVersion, status.Deployment)
	}
	for deadline := time.Now().Add(soon); statusOf(t, a).RejectedVersion != 6; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a faulty manifest was not refused")
		}
	}
}

func statusOf(t *testing.T, p *process) *message.Status {
	t.Helper()
	status := new(message.Status)
	err := codec.Call(t.Context(), http.DefaultClient, p.self.Address, message.PathStatus, message.StatusRequest{}, status)
	if err != nil {
		t.Fatal(err)
	}
	return status
}

func TestNotReadyWhileNobodyAnswers(t *testing.T) {
	t.Parallel()
	f := newPlatform(t)
	f.fault(func(f *fakePlatform) { f.outage = true })
	listeners, _ := listen(t, 1)
	a := start(t, listeners[0], "a", f.url, "127.0.0.1:1")
	time.Sleep(500 * time.Millisecond)
	if a.Ready() {
		t.Fatal("ready without a manifest")
	}
	f.set("manifest", 1, manifestOf("one"))
	f.fault(func(f *fakePlatform) { f.outage = false })
	awaitReady(t, a)
}

func TestMembersLeaveAndDie(t *testing.T) {
	t.Parallel()
	f := newPlatform(t)
	listeners, addresses := listen(t, 3)
	a := start(t, listeners[0], "a", f.url, addresses...)
	b := start(t, listeners[1], "b", f.url, addresses...)
	c := start(t, listeners[2], "c", f.url, addresses...)
	a.await(t, soon, "three members", func(v *View) bool { return len(v.Members) == 3 })
	if err := b.Leave(t.Context()); err != nil {
		t.Fatal(err)
	}
	a.await(t, time.Second, "b leaving", func(v *View) bool { return len(v.Members) == 3 && v.Members[1].Draining })
	c.stop()
	a.await(t, 5*time.Second, "c gone", func(v *View) bool { return len(v.Members) == 2 })
}

func TestLeavingEndpoints(t *testing.T) {
	t.Parallel()
	f := newPlatform(t)
	f.set("hosts", 1, message.HostList{Endpoints: []message.ListedEndpoint{
		{Name: "e1", State: message.ListedDraining}, {Name: "e2", State: message.ListedLive}}})
	listeners, addresses := listen(t, 2)
	a := start(t, listeners[0], "a", f.url, addresses...)
	b := start(t, listeners[1], "b", f.url, addresses...)
	b.await(t, soon, "e1 leaving", func(v *View) bool { return v.Leaving["e1"] && !v.Leaving["e2"] })
	if err := a.ReportLeaving("e2"); err != nil {
		t.Fatal(err)
	}
	b.await(t, soon, "e2 leaving", func(v *View) bool { return v.Leaving["e2"] })
}

func TestVerdictsComeFromThePlatform(t *testing.T) {
	t.Parallel()
	f := newPlatform(t)
	f.set("verdicts/p/v2", 1, message.BadVersion{Pool: "p", Version: "v2", Reason: "errors"})
	f.set("status/moves/m1", 2, message.MoveStage{Move: "m1", Pool: "p", Stage: message.StageReverted})
	listeners, _ := listen(t, 1)
	a := start(t, listeners[0], "a", f.url)
	a.await(t, soon, "verdict and stage", func(v *View) bool {
		return len(v.BadVersions) == 1 && v.Moves["m1"].Stage == message.StageReverted
	})
}

func TestSilentWatchRecovers(t *testing.T) {
	t.Parallel()
	f := newPlatform(t)
	f.set("manifest", 1, manifestOf("one"))
	f.fault(func(f *fakePlatform) { f.hang = 2 }) // one each of manifest and hosts
	listeners, _ := listen(t, 1)
	a := start(t, listeners[0], "a", f.url)
	a.await(t, soon, "version 1", inForce(1))
	f.set("manifest", 2, manifestOf("two"))
	a.await(t, watchWait+5*time.Second, "version 2", inForce(2))
}

func TestKilledDutiesGoOn(t *testing.T) {
	t.Parallel()
	f := newPlatform(t)
	f.set("manifest", 1, manifestOf("one"))
	listeners, addresses := listen(t, 2)
	a := start(t, listeners[0], "a", f.url, addresses...)
	b := start(t, listeners[1], "b", f.url, addresses...)
	awaitReady(t, a)
	for _, duty := range []string{"configuration", "members", "watch-manifest", "probe", "fetch-0"} {
		if err := a.Supervisor().Kill(duty); err != nil {
			t.Fatal(err)
		}
	}
	f.set("manifest", 2, manifestOf("two"))
	a.await(t, soon, "version 2 and both members", func(v *View) bool {
		return v.ManifestVersion == 2 && len(v.Members) == 2
	})
	b.await(t, soon, "both members", func(v *View) bool { return len(v.Members) == 2 })
}
