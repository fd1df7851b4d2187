package integration

import (
	"testing"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/move"
	"kingcupcourse/internal/message"
)

// maxLogDelay is the tolerance for the time of a log line.
const maxLogDelay = 300 * time.Millisecond

// A move must continue after its lease holder is killed. A holder that was
// paused past the end of its lease must change nothing when it resumes.
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
	m.setFault(late.candidateName(), `{"error_rate": 1}`)
	m.expectReverted(t, late, maxRampShare)
	m.expectMoveDone(t, killed)
	m.expectMoveDone(t, paused)
	second.rollout.resume()
	first.rollout.start()
	m.awaitReady(first.rolloutAdmin)
	time.Sleep(4 * time.Second) // the resumed holder and the restarted process check all moves
	for _, p := range []movingPool{killed, paused} {
		if stage := m.status(p).Stage; stage != message.StageDone {
			t.Errorf("%s: stage %s after its former holder resumed", p.moveName(), stage)
		}
	}
	if stage := m.status(late).Stage; stage != message.StageReverted {
		t.Errorf("%s: stage %s after its former holder resumed", late.moveName(), stage)
	}
	for _, p := range m.pools {
		m.expectNoStaleOrderApplied(t, p)
	}
}

// expectNoStaleOrderApplied fails the test if an endpoint that checks fencing
// numbers applied an order with a lower number than an earlier order.
func (m *movingCluster) expectNoStaleOrderApplied(t *testing.T, p movingPool) {
	t.Helper()
	highest := uint64(0)
	for _, o := range m.orders(p).Orders {
		if o.Applied && !p.ignoresFence && o.Fence < highest {
			t.Errorf("%s applied an order with fencing number %d after %d", p.candidateName(), o.Fence, highest)
		}
		highest = max(highest, o.Fence)
	}
	if highest == 0 {
		t.Errorf("%s received no orders", p.candidateName())
	}
}

// During an outage of the platform that spans the deadline no process can write
// that the move is reverted. Every host must stop using the new version by its
// own clock.
func TestPlatformOutageAcrossTheDeadline(t *testing.T) {
	good := movingPool{name: "good", kind: core.KindModel, deadline: 30 * time.Second, soak: 6 * time.Second}
	bad := movingPool{name: "bad", kind: core.KindModel, deadline: 45 * time.Second, soak: 20 * time.Second}
	m := startMoves(t, good, bad)
	m.awaitStage(good, good.deadline, message.StageRamp)
	m.awaitStage(bad, good.deadline, message.StageCanary, message.StageRamp, message.StageSoak)
	m.setFault("platform", `{"outage": true}`)
	outageStart := time.Now()
	m.setFault(bad.candidateName(), `{"error_rate": 1}`)
	m.await("verdict", 15*time.Second, func() bool { return !m.verdictTime(bad).IsZero() })
	deadline := time.UnixMilli(m.manifest.Moves[0].DeadlineUnixMS)
	time.Sleep(time.Until(deadline.Add(2 * time.Second)))
	m.setFault("platform", `{"outage": false}`)
	m.awaitStage(good, 20*time.Second, message.StageReverted)
	m.expectReverted(t, bad, maxRampShare)
	m.traffic[good.name].stop()
	m.expectRunAtMostOnce(t, good)
	last := m.lastDispatch(good)
	t.Logf("last dispatch %v before the deadline", deadline.Sub(last))
	if last.After(deadline.Add(-move.DefaultRevertMargin + maxLogDelay)) {
		t.Errorf("%s: the last dispatch to the new version was %v before the deadline", good.moveName(), deadline.Sub(last))
	}
	if last.Before(outageStart.Add(maxDispatchDelay)) {
		t.Errorf("%s: no dispatch to the new version during the outage; the test proves nothing", good.moveName())
	}
	if m.isJudgedBad(good) {
		t.Errorf("%s: a good version was judged bad", good.moveName())
	}
}

// Covers writes that take effect although their responses are lost, a move that
// is withdrawn while it runs, and a move whose deadline is too short.
func TestMovesWithWithdrawalAndLostResponses(t *testing.T) {
	good := movingPool{name: "good", kind: core.KindModel, deadline: moveDeadline, soak: shortSoak}
	bad := movingPool{name: "bad", kind: core.KindService, deadline: moveDeadline, soak: shortSoak, fault: `{"error_rate": 1}`}
	hasty := movingPool{name: "hasty", kind: core.KindService, deadline: 12 * time.Second, soak: 30 * time.Second}
	withdrawn := movingPool{name: "withdrawn", kind: core.KindModel, deadline: moveDeadline, soak: 15 * time.Second}
	m := startMoves(t, good, bad, hasty, withdrawn)
	for range 8 {
		m.setFault("platform", `{"lose_answers": 3}`)
		time.Sleep(time.Second)
	}
	if status := m.awaitMoveEnd(hasty); status.Stage != message.StageReverted || m.isJudgedBad(hasty) {
		t.Errorf("%s: stage %s: %s", hasty.moveName(), status.Stage, status.Reason)
	}
	m.awaitStage(withdrawn, moveDeadline, message.StageCanary, message.StageRamp, message.StageSoak)
	m.manifest.Moves = m.manifest.Moves[:3]
	m.commitManifest()
	committed := time.Now()
	m.expectReverted(t, bad, maxShare)
	m.expectMoveDone(t, good)
	m.awaitStage(withdrawn, moveDeadline, message.StageReverted)
	m.traffic[withdrawn.name].stop()
	m.traffic[withdrawn.name].expectComplete(t, false)
	if last := m.lastDispatch(withdrawn); last.After(committed.Add(maxDispatchDelay)) {
		t.Errorf("%s: dispatched %v after the commit", withdrawn.moveName(), last.Sub(committed))
	}
	m.manifest.Moves[0].ToVersion, m.manifest.Moves[0].FromVersion = oldVersion, newVersion
	m.writeJSON(m.folder+"/turned.json", m.manifest)
	if out, err := m.runCtl("--platform", m.platformURL, "commit", m.folder+"/turned.json"); err == nil {
		t.Errorf("a commit reused the name of a move for another move: %s", out)
	}
}

// Schedulers restart while the platform returns its state from before the
// verdict. They must not dispatch to the bad version again.
func TestBadVersionIsNotUsedAfterSchedulerRestart(t *testing.T) {
	bad := movingPool{name: "bad", kind: core.KindModel, deadline: moveDeadline, soak: shortSoak}
	m := startMoves(t, bad)
	m.awaitStage(bad, moveDeadline, message.StageCanary)
	m.setFault("platform", `{"stale_reads": true}`)
	m.setFault(bad.candidateName(), `{"error_rate": 1}`)
	m.await("verdict", 15*time.Second, func() bool { return !m.verdictTime(bad).IsZero() })
	verdict := m.verdictTime(bad)
	for _, h := range m.hosts {
		h.scheduler.kill()
		h.scheduler.start()
		m.awaitReady(h.schedulerAdmin)
		time.Sleep(2 * time.Second)
	}
	m.setFault("platform", `{"stale_reads": false}`)
	m.awaitStage(bad, moveDeadline, message.StageReverted)
	m.traffic[bad.name].stop()
	if last := m.lastDispatch(bad); last.After(verdict.Add(maxDispatchDelay)) {
		t.Errorf("dispatched to the bad version %v after the verdict", last.Sub(verdict))
	}
	if !m.isJudgedBad(bad) {
		t.Error("no verdict in the platform")
	}
}
