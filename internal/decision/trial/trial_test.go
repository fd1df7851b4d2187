package trial

import (
	"net/http"
	"testing"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/message"
)

const requests = 30

var idle = EndpointState{Kind: core.KindModel, Running: 1, Slots: 8}

var start = time.Unix(1000, 0)

// syncStage brings a set to a stage of the move from v1 to v2.
func syncStage(s *Set, stage message.Stage, now time.Time) {
	m := &manifest.Manifest{Moves: []manifest.Move{{Name: "m", Pool: "p", FromVersion: "v1", ToVersion: "v2"}}}
	s.Sync(m, map[string]message.MoveStage{"m": {Stage: stage, ToVersion: "v2"}}, now)
}

func outcome(v core.Version, result core.Result, status int) *core.Outcome {
	return &core.Outcome{Route: "r", Endpoint: "e-" + string(v), Version: v, Result: result, Status: status,
		FirstTokenMS: 20, BetweenTokensMS: 10, OutputTokens: 20, TotalMS: 220}
}

// feed gives the set good outcomes of v1 and the given outcome of v2, repeatedly,
// and returns the findings.
func feed(s *Set, now time.Time, spacing time.Duration, candidate *core.Outcome) (found []Finding) {
	for range requests {
		now = now.Add(spacing)
		s.Observe(outcome("v1", core.ResultOK, http.StatusOK), idle, now)
		found = append(found, s.Observe(candidate, idle, now)...)
	}
	return found
}

func TestOutcomesThatCountAgainstAVersion(t *testing.T) {
	slow := outcome("v2", core.ResultOK, http.StatusOK)
	slow.FirstTokenMS *= 5
	cutOff := outcome("v2", core.ResultCancelled, 0)
	cutOff.BetweenTokensMS *= 5
	gaveUp := outcome("v2", core.ResultCancelled, 0)
	gaveUp.FirstTokenMS, gaveUp.OutputTokens = 0, 0
	cases := []struct {
		name      string
		candidate *core.Outcome
		spacing   time.Duration
		bad       bool
	}{
		{"good", outcome("v2", core.ResultOK, http.StatusOK), time.Second, false},
		{"failing", outcome("v2", core.ResultFailed, http.StatusInternalServerError), time.Second, true},
		{"cut or malformed response", outcome("v2", core.ResultFailed, http.StatusOK), time.Second, true},
		{"lost repeatedly", outcome("v2", core.ResultLost, 0), time.Second, true},
		{"lost in one crash", outcome("v2", core.ResultLost, 0), time.Millisecond, false},
		{"slow", slow, time.Second, true},
		{"slow until the deadline", cutOff, time.Second, true},
		{"slow in one pause", slow, time.Millisecond, false},
		{"callers' errors", outcome("v2", core.ResultOK, http.StatusNotFound), time.Second, false},
		{"request seen before", outcome("v2", core.ResultFailed, http.StatusConflict), time.Second, false},
		{"given up by its caller", gaveUp, time.Second, false},
		{"not dispatched", outcome("v2", core.ResultNotDispatched, 0), time.Second, false},
		{"not started", outcome("v2", core.ResultRejected, http.StatusServiceUnavailable), time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := NewSet("p")
			syncStage(s, message.StageCanary, start)
			feed(s, start, time.Second, outcome("v2", core.ResultOK, http.StatusOK))
			found := feed(s, start.Add(requests*time.Second), c.spacing, c.candidate)
			if bad := len(found) == 1 && !found[0].MoveDone; bad != c.bad || s.Bad("v2") != c.bad {
				t.Fatalf("got %+v, want bad %v", found, c.bad)
			}
		})
	}
}

func TestVerdictIsKeptAfterTheTrial(t *testing.T) {
	s := NewSet("p")
	syncStage(s, message.StageCanary, start)
	feed(s, start, time.Second, outcome("v2", core.ResultFailed, http.StatusInternalServerError))
	s.Reset()
	syncStage(s, message.StageReverted, start)
	syncStage(s, message.StageCanary, start)
	if !s.Bad("v2") || s.Preference("v2", "r", start) != NoPreference {
		t.Fatal("the verdict was lost")
	}
}

// Checks that a fault after the end of a move, when there is no version left to
// go back to, raises one alarm, and only while the version is watched.
func TestFaultAfterTheMoveRaisesOneAlarm(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 1}, {2 * minWatchDuration, 0}} {
		s := NewSet("p")
		syncStage(s, message.StageSoak, start)
		feed(s, start, time.Second, outcome("v2", core.ResultOK, http.StatusOK))
		done := start.Add(requests * time.Second)
		syncStage(s, message.StageDone, done)
		found := feed(s, done.Add(c.after), time.Second, outcome("v2", core.ResultFailed, http.StatusInternalServerError))
		if len(found) != c.want || s.Bad("v2") {
			t.Fatalf("after %v: got %+v, want %d findings", c.after, found, c.want)
		}
	}
}

func TestProvedRouteLeavesTheShareToOthers(t *testing.T) {
	s := NewSet("p")
	syncStage(s, message.StageCanary, start)
	feed(s, start, time.Second, outcome("v2", core.ResultOK, http.StatusOK))
	now := start.Add(requests * time.Second)
	if got := s.Preference("v2", "r", now); got != Preferred {
		t.Fatalf("all proved: got %v", got)
	}
	other := outcome("v1", core.ResultOK, http.StatusOK)
	other.Route = "other"
	for range requests {
		s.Observe(other, idle, now)
	}
	if s.Preference("v2", "r", now) != Avoided || s.Preference("v2", "other", now) != Preferred {
		t.Fatal("the proved route is not avoided")
	}
	syncStage(s, message.StageRamp, now)
	if s.Preference("v2", "r", now) != Preferred {
		t.Fatal("the ramp needs the load of all routes")
	}
}

// Checks that a version is not found bad because it carries most of the traffic,
// which makes it slower.
func TestLatenciesAreComparedUnderTheSameLoad(t *testing.T) {
	full := EndpointState{Kind: core.KindModel, Running: 8, Slots: 8}
	for _, baselineUnderLoad := range []bool{false, true} {
		s := NewSet("p")
		syncStage(s, message.StageSoak, start)
		now := start
		for range requests {
			now = now.Add(time.Second / 2)
			endpoint := idle
			if baselineUnderLoad {
				endpoint = full
			}
			s.Observe(outcome("v1", core.ResultOK, 200), endpoint, now)
			candidate := outcome("v2", core.ResultOK, 200)
			candidate.BetweenTokensMS *= 3
			s.Observe(candidate, full, now)
		}
		if s.Bad("v2") != baselineUnderLoad {
			t.Errorf("baseline under load %v: found bad %v", baselineUnderLoad, s.Bad("v2"))
		}
	}
}
