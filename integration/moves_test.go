package integration

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/message"
)

const (
	// moveDeadline is the time that the moves of the tests have to end.
	moveDeadline = 40 * time.Second
	// maxDispatchDelay is how long after the verdict a host may still dispatch
	// to a bad version.
	maxDispatchDelay = 2 * time.Second
	shortSoak        = 2 * time.Second
	// maxRampShare is the largest share of the ramp stage.
	maxRampShare = 0.9
)

// expectMoveDone fails the test unless the move to a good version was done in
// time and truncated no response.
func (m *movingCluster) expectMoveDone(t *testing.T, p movingPool) {
	t.Helper()
	status := m.awaitMoveEnd(p)
	if status.Stage != message.StageDone || status.SinceUnixMS > status.DeadlineUnixMS {
		t.Errorf("%s: stage %s: %s", p.moveName(), status.Stage, status.Reason)
	}
	if m.isJudgedBad(p) {
		t.Errorf("%s: a good version was judged bad", p.moveName())
	}
	m.traffic[p.name].stop()
	m.traffic[p.name].expectComplete(t, false)
	m.expectRunAtMostOnce(t, p)
}

// expectReverted fails the test unless the new version was judged bad, its move
// was reverted, its share stayed within shareLimit, and no host dispatched to
// it later than maxDispatchDelay after the verdict.
func (m *movingCluster) expectReverted(t *testing.T, p movingPool, shareLimit float64) {
	t.Helper()
	status := m.awaitMoveEnd(p)
	if status.Stage != message.StageReverted || !strings.Contains(status.Reason, "judged bad") {
		t.Errorf("%s: stage %s: %s", p.moveName(), status.Stage, status.Reason)
	}
	if !m.isJudgedBad(p) {
		t.Errorf("%s: no verdict in the platform", p.moveName())
	}
	verdict := m.verdictTime(p)
	time.Sleep(time.Until(verdict.Add(maxDispatchDelay + time.Second)))
	m.traffic[p.name].stop()
	m.traffic[p.name].expectComplete(t, true)
	m.expectRunAtMostOnce(t, p)
	share, last := m.largestShare(p), m.lastDispatch(p)
	t.Logf("%s: largest share %.2f, last dispatch %v after the verdict; %s", p.moveName(), share, last.Sub(verdict), status.Reason)
	if share > shareLimit {
		t.Errorf("%s: the bad version reached a share of %.3f", p.moveName(), share)
	}
	if verdict.IsZero() || last.After(verdict.Add(maxDispatchDelay)) {
		t.Errorf("%s: verdict at %v, last dispatch at %v", p.moveName(), verdict, last)
	}
}

// One cluster runs moves to good and to bad versions concurrently.
func TestMoves(t *testing.T) {
	good := []movingPool{
		{name: "good", kind: core.KindModel},
		{name: "good-ledger", kind: core.KindService, ignoresFence: true},
	}
	bad := []movingPool{
		{name: "at-once", kind: core.KindModel, fault: `{"error_rate": 1}`, ignoresFence: true},
		{name: "one-route", kind: core.KindModel, fault: `{"error_rate": 1, "error_route": "/v1/chat"}`},
		{name: "slow", kind: core.KindModel, fault: `{"slow_factor": 5}`},
		{name: "ledger-path", kind: core.KindService, fault: `{"error_rate": 1, "error_route": "/ledger-path/file"}`},
	}
	underLoad := movingPool{name: "under-load", kind: core.KindModel, fault: `{"fail_above_running": 1}`}
	later := movingPool{name: "later", kind: core.KindModel, soak: 8 * time.Second}
	pools := append(append([]movingPool{underLoad, later}, good...), bad...)
	for i := range pools {
		pools[i].deadline = moveDeadline
		if pools[i].soak == 0 {
			pools[i].soak = shortSoak
		}
	}
	m := startMoves(t, pools...)
	m.awaitStage(later, moveDeadline, message.StageSoak)
	m.setFault(later.candidateName(), fmt.Sprintf(`{"fail_after_unix_ms": %d}`, time.Now().UnixMilli()))
	for _, p := range pools[4:] {
		m.expectReverted(t, p, maxShare)
	}
	// These two reach a larger share, since they behave well at first.
	m.expectReverted(t, pools[0], maxRampShare)
	m.expectReverted(t, pools[1], maxRampShare)
	for _, p := range pools[2:4] {
		m.expectMoveDone(t, p)
	}
	m.expectMovesListed(t, pools)
	m.expectCommitRefused(t, "at-once")
}

// expectMovesListed fails the test unless kingcupctl lists each move as done or
// reverted with a reason.
func (m *movingCluster) expectMovesListed(t *testing.T, pools []movingPool) {
	t.Helper()
	out, err := m.runCtl("--platform", m.platformURL, "moves", "--json")
	var listed []message.MoveStage
	if err != nil || json.Unmarshal([]byte(out), &listed) != nil || len(listed) != len(pools) {
		t.Fatalf("moves: %v\n%s", err, out)
	}
	for _, stage := range listed {
		if stage.Stage != message.StageDone && stage.Stage != message.StageReverted || stage.Reason == "" {
			t.Errorf("listed move has not ended or has no reason: %+v", stage)
		}
	}
}

// expectCommitRefused fails the test unless the commit of a new move to a
// version judged bad is refused with a finding.
func (m *movingCluster) expectCommitRefused(t *testing.T, pool string) {
	t.Helper()
	again := m.manifest
	again.Moves = nil
	for _, planned := range m.manifest.Moves {
		if planned.Pool == pool {
			planned.Name += "-again"
			planned.DeadlineUnixMS += time.Hour.Milliseconds()
			again.Moves = append(again.Moves, planned)
		}
	}
	path := m.folder + "/again.json"
	m.writeJSON(path, again)
	out, err := m.runCtl("--platform", m.platformURL, "commit", path)
	if err == nil || !strings.Contains(out, `version "v2" of pool "`+pool+`" was judged bad`) {
		t.Errorf("commit: %v\n%s", err, out)
	}
}
