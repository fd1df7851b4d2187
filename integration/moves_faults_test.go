package integration

import (
	"testing"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/move"
	"kingcupcourse/internal/message"
)

// clockSlack is how late a log line may be.
const clockSlack = 300 * time.Millisecond

// A move goes on where its holder was killed, and a holder that was paused
// past its lease disturbs nothing when it wakes.
func TestMovesOutliveTheirHolders(t *testing.T) {
	killed := movingPool{name: "killed", kind: core.KindModel, deadline: moveDeadline, soak: shortSoak}
	paused := movingPool{name: "paused", kind: core.KindService, deadline: moveDeadline, soak: shortSoak}
	late := movingPool{name: "late", kind: core.KindModel, deadline: moveDeadline, soak: 12 * time.Second, ignoresFence: true}
	m := startMoves(t, killed, paused, late)
	m.awaitStage(killed, moveDeadline, message.StageCanary)
	first := m.holder(killed)
	first.rollout.kill()
	m.awaitStage(paused, moveDeadline, message.StageRamp)
	second := m.holder(paused)
	if second != first {
		second.rollout.pause()
	}
	m.awaitStage(late, moveDeadline, message.StageSoak)
	m.fault(late.tried(), `{"error_rate": 1}`)
	m.wantTakenBack(t, late, rampLimit)
	m.wantDone(t, killed)
	m.wantDone(t, paused)
	second.rollout.resume()
	first.rollout.start()
	m.awaitReady(first.rolloutAdmin)
	time.Sleep(4 * time.Second) // the woken holder and the new process have looked at all moves
	for _, p := range []movingPool{killed, paused} {
		if stage := m.status(p).Stage; stage != message.StageDone {
			t.Errorf("%s: %s after its old holder woke", p.move(), stage)
		}
	}
	if stage := m.status(late).Stage; stage != message.StageReverted {
		t.Errorf("%s: %s after its old holder woke", late.move(), stage)
	}
	for _, p := range m.pools {
		m.wantFencedOrders(t, p)
	}
}

// wantFencedOrders fails the test if an endpoint that checks fencing numbers
// obeyed an order below one that it had obeyed before.
func (m *movingCluster) wantFencedOrders(t *testing.T, p movingPool) {
	t.Helper()
	highest := uint64(0)
	for _, o := range m.orders(p).Orders {
		if o.Obeyed && !p.ignoresFence && o.Fence < highest {
			t.Errorf("%s obeyed fencing number %d after %d", p.tried(), o.Fence, highest)
		}
		highest = max(highest, o.Fence)
	}
	if highest == 0 {
		t.Errorf("%s was ordered nothing", p.tried())
	}
}

// While the platform is away across the deadline nobody can write that the
// move is reverted. Every host stops using the version by its own clock.
func TestPlatformOutageAcrossTheDeadline(t *testing.T) {
	good := movingPool{name: "good", kind: core.KindModel, deadline: 30 * time.Second, soak: 6 * time.Second}
	bad := movingPool{name: "bad", kind: core.KindModel, deadline: 45 * time.Second, soak: 20 * time.Second}
	m := startMoves(t, good, bad)
	m.awaitStage(good, good.deadline, message.StageRamp)
	m.awaitStage(bad, good.deadline, message.StageCanary, message.StageRamp, message.StageSoak)
	m.fault("platform", `{"outage": true}`)
	away := time.Now()
	m.fault(bad.tried(), `{"error_rate": 1}`)
	m.await("verdict", 15*time.Second, func() bool { return !m.verdictTime(bad).IsZero() })
	deadline := time.UnixMilli(m.manifest.Moves[0].DeadlineUnixMS)
	time.Sleep(time.Until(deadline.Add(2 * time.Second)))
	m.fault("platform", `{"outage": false}`)
	m.awaitStage(good, 20*time.Second, message.StageReverted)
	m.wantTakenBack(t, bad, rampLimit)
	m.traffic[good.name].end()
	m.wantRunOnce(t, good)
	last := m.lastDispatch(good)
	t.Logf("last dispatch %v before the deadline", deadline.Sub(last))
	if last.After(deadline.Add(-move.DefaultRevertMargin + clockSlack)) {
		t.Errorf("%s: the last dispatch to the new version was %v before the deadline", good.move(), deadline.Sub(last))
	}
	if last.Before(away.Add(dispatchLimit)) {
		t.Errorf("%s: no dispatch to the new version in the outage; the test shows nothing", good.move())
	}
	if m.isJudgedBad(good) {
		t.Errorf("%s: a good version was judged bad", good.move())
	}
}

// Writes that take effect without an answer, a move that is withdrawn while
// it runs, and one without time.
func TestMovesUnderOperatorsAndLostAnswers(t *testing.T) {
	good := movingPool{name: "good", kind: core.KindModel, deadline: moveDeadline, soak: shortSoak}
	bad := movingPool{name: "bad", kind: core.KindService, deadline: moveDeadline, soak: shortSoak, fault: `{"error_rate": 1}`}
	hasty := movingPool{name: "hasty", kind: core.KindService, deadline: 12 * time.Second, soak: 30 * time.Second}
	withdrawn := movingPool{name: "withdrawn", kind: core.KindModel, deadline: moveDeadline, soak: 15 * time.Second}
	m := startMoves(t, good, bad, hasty, withdrawn)
	for range 8 {
		m.fault("platform", `{"lose_answers": 3}`)
		time.Sleep(time.Second)
	}
	if status := m.awaitEnd(hasty); status.Stage != message.StageReverted || m.isJudgedBad(hasty) {
		t.Errorf("%s: %s: %s", hasty.move(), status.Stage, status.Reason)
	}
	m.awaitStage(withdrawn, moveDeadline, message.StageCanary, message.StageRamp, message.StageSoak)
	m.manifest.Moves = m.manifest.Moves[:3]
	m.commitManifest()
	committed := time.Now()
	m.wantTakenBack(t, bad, maxShare)
	m.wantDone(t, good)
	m.awaitStage(withdrawn, moveDeadline, message.StageReverted)
	m.traffic[withdrawn.name].end()
	m.traffic[withdrawn.name].wantSound(t, false)
	if last := m.lastDispatch(withdrawn); last.After(committed.Add(dispatchLimit)) {
		t.Errorf("%s: dispatched %v after the commit", withdrawn.move(), last.Sub(committed))
	}
	m.manifest.Moves[0].ToVersion, m.manifest.Moves[0].FromVersion = oldVersion, newVersion
	m.writeJSON(m.folder+"/turned.json", m.manifest)
	if out, err := m.ctl("--platform", m.platform, "commit", m.folder+"/turned.json"); err == nil {
		t.Errorf("a name was used for another move: %s", out)
	}
}

// Schedulers that start anew while the platform answers with the state before
// the verdict must not let the bad version back.
func TestBadVersionStaysBad(t *testing.T) {
	bad := movingPool{name: "bad", kind: core.KindModel, deadline: moveDeadline, soak: shortSoak}
	m := startMoves(t, bad)
	m.awaitStage(bad, moveDeadline, message.StageCanary)
	m.fault("platform", `{"stale_reads": true}`)
	m.fault(bad.tried(), `{"error_rate": 1}`)
	m.await("verdict", 15*time.Second, func() bool { return !m.verdictTime(bad).IsZero() })
	verdict := m.verdictTime(bad)
	for _, h := range m.hosts {
		h.scheduler.kill()
		h.scheduler.start()
		m.awaitReady(h.schedulerAdmin)
		time.Sleep(2 * time.Second)
	}
	m.fault("platform", `{"stale_reads": false}`)
	m.awaitStage(bad, moveDeadline, message.StageReverted)
	m.traffic[bad.name].end()
	if last := m.lastDispatch(bad); last.After(verdict.Add(dispatchLimit)) {
		t.Errorf("dispatched to the bad version %v after the verdict", last.Sub(verdict))
	}
	if !m.isJudgedBad(bad) {
		t.Error("no verdict in the platform")
	}
}
