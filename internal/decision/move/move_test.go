package move

import (
	"testing"
	"time"

	"kingcupcourse/internal/decision/verdict"
	"kingcupcourse/internal/message"
)

var start = time.Unix(1000, 0)

func plan() Plan {
	return Plan{Name: "m", Pool: "p", From: "v1", To: "v2", MaxShare: 0.05, Soak: 10 * time.Second,
		Deadline: start.Add(time.Minute)}
}

func evidence(requests int, proved bool, alarm float64) []verdict.RouteEvidence {
	return []verdict.RouteEvidence{{Route: "r", Requests: requests, Proved: proved, ProvedVersion: 9, Alarm: alarm}}
}

func TestNext(t *testing.T) {
	at := func(stage message.Stage, share float64) Status {
		return Status{Stage: stage, Share: share, Since: start, Requests: 20}
	}
	cases := []struct {
		name   string
		status Status
		after  time.Duration
		known  Knowledge
		stage  message.Stage
		share  float64
	}{
		{"new", Status{}, 0, Knowledge{}, message.StageLoading, 0},
		{"still loading", at(message.StageLoading, 0), time.Second, Knowledge{}, message.StageLoading, 0},
		{"loaded", at(message.StageLoading, 0), time.Second, Knowledge{Ready: true}, message.StageCanary, 0.05},
		{"canary unproved", at(message.StageCanary, 0.05), time.Second, Knowledge{Evidence: evidence(9, false, 0)}, message.StageCanary, 0.05},
		{"canary without evidence", at(message.StageCanary, 0.05), time.Second, Knowledge{}, message.StageCanary, 0.05},
		{"canary proved", at(message.StageCanary, 0.05), time.Second, Knowledge{Evidence: evidence(30, true, 0)}, message.StageRamp, 0.25},
		{"canary alarmed", at(message.StageCanary, 0.05), time.Second, Knowledge{Evidence: evidence(30, true, 0.6)}, message.StageCanary, 0.05},
		{"one route unproved", at(message.StageCanary, 0.05), time.Second, Knowledge{
			Evidence: append(evidence(30, true, 0), verdict.RouteEvidence{Route: "s", ProvedVersion: 5})}, message.StageCanary, 0.05},
		{"one route without traffic", at(message.StageCanary, 0.05), time.Second, Knowledge{
			Evidence: append(evidence(30, true, 0), verdict.RouteEvidence{Route: "s", ProvedVersion: 4})}, message.StageRamp, 0.25},
		{"ramp too early", at(message.StageRamp, 0.25), time.Second, Knowledge{Evidence: evidence(99, true, 0)}, message.StageRamp, 0.25},
		{"ramp without load", at(message.StageRamp, 0.25), 3 * time.Second, Knowledge{Evidence: evidence(21, true, 0)}, message.StageRamp, 0.25},
		{"ramp with a new owner", at(message.StageRamp, 0.25), 3 * time.Second, Knowledge{Evidence: evidence(9, false, 0)}, message.StageRamp, 0.25},
		{"ramp with a new owner and load", at(message.StageRamp, 0.25), 3 * time.Second, Knowledge{Evidence: evidence(10, false, 0)}, message.StageRamp, 0.5},
		{"ramp", at(message.StageRamp, 0.25), 3 * time.Second, Knowledge{Evidence: evidence(99, true, 0)}, message.StageRamp, 0.5},
		{"ramp ends", at(message.StageRamp, 0.9), 3 * time.Second, Knowledge{Evidence: evidence(99, true, 0)}, message.StageSoak, 0.9},
		{"soaking", at(message.StageSoak, 0.9), 9 * time.Second, Knowledge{Evidence: evidence(99, true, 0)}, message.StageSoak, 0.9},
		{"soaked", at(message.StageSoak, 0.9), 10 * time.Second, Knowledge{Evidence: evidence(99, true, 0)}, message.StageDone, 1},
		{"bad", at(message.StageSoak, 0.9), time.Second, Knowledge{Bad: &message.BadVersion{Route: "r"}}, message.StageReverted, 0},
		{"withdrawn", at(message.StageCanary, 0.05), time.Second, Knowledge{Withdrawn: true}, message.StageReverted, 0},
		{"too late", at(message.StageCanary, 0.05), 45 * time.Second, Knowledge{Evidence: evidence(9, false, 0)}, message.StageReverted, 0},
		{"done stays done", at(message.StageDone, 1), time.Hour, Knowledge{Withdrawn: true}, message.StageDone, 1},
		{"reverted stays reverted", at(message.StageReverted, 0), time.Second, Knowledge{Ready: true}, message.StageReverted, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := Next(plan(), c.status, start.Add(c.after), c.known)
			if got.Stage != c.stage || got.Share != c.share {
				t.Fatalf("got %s %.2f (%s), want %s %.2f", got.Stage, got.Share, got.Reason, c.stage, c.share)
			}
		})
	}
}

// A move that is never done must be reverted RevertTime before its deadline
// at the latest, whatever stage it hangs in.
func TestRevertBeginsBeforeTheDeadline(t *testing.T) {
	for _, stage := range []message.Stage{message.StageLoading, message.StageCanary, message.StageRamp, message.StageSoak} {
		status := Status{Stage: stage, Share: 0.25, Since: start}
		now := start
		for status.Stage != message.StageReverted {
			now = now.Add(100 * time.Millisecond)
			status = Next(plan(), status, now, Knowledge{})
			if now.After(plan().Deadline) {
				t.Fatalf("%s: not reverted by the deadline", stage)
			}
		}
		if left := plan().Deadline.Sub(now); left < RevertTime-time.Second {
			t.Errorf("%s: reverted only %v before the deadline", stage, left)
		}
	}
}

// A version with too little traffic for a proof goes on at the last moment if
// all that is known speaks for it, and is taken back otherwise.
func TestUnprovedAtTheLastMoment(t *testing.T) {
	p := plan()
	p.Unproved, p.Soak, p.Step, p.Revert = true, time.Second, time.Second, time.Second
	status := Status{Stage: message.StageCanary, Share: 0.05, Since: start}
	last := p.Deadline.Add(-TimeNeeded(p, status, p.Deadline) - p.Step/2)
	for _, tt := range []struct {
		name     string
		at       time.Time
		evidence verdict.RouteEvidence
		unproved bool
		want     message.Stage
	}{
		{"too early", start, verdict.RouteEvidence{Requests: 12, ProvedVersion: 9, LogRatio: -1}, true, message.StageCanary},
		{"all speaks for it", last, verdict.RouteEvidence{Requests: 12, ProvedVersion: 9, LogRatio: -1}, true, message.StageRamp},
		{"not allowed", last, verdict.RouteEvidence{Requests: 12, ProvedVersion: 9, LogRatio: -1}, false, message.StageCanary},
		{"something against it", last, verdict.RouteEvidence{Requests: 12, ProvedVersion: 9, LogRatio: 0.1}, true, message.StageCanary},
		{"alarm", last, verdict.RouteEvidence{Requests: 12, ProvedVersion: 9, LogRatio: -1, Alarm: 0.6}, true, message.StageCanary},
		{"hardly tried", last, verdict.RouteEvidence{Requests: 3, ProvedVersion: 9, LogRatio: -1}, true, message.StageCanary},
		{"no time at all", p.Deadline, verdict.RouteEvidence{Requests: 12, ProvedVersion: 9, LogRatio: -1}, true, message.StageReverted},
	} {
		p.Unproved = tt.unproved
		got := Next(p, status, tt.at, Knowledge{Ready: true, Evidence: []verdict.RouteEvidence{tt.evidence}})
		if got.Stage != tt.want {
			t.Errorf("%s: %s, want %s (%s)", tt.name, got.Stage, tt.want, got.Reason)
		}
	}
}
