package move

import (
	"testing"
	"time"

	"kingcupcourse/internal/decision/canary"
	"kingcupcourse/internal/message"
)

var start = time.Unix(1000, 0)

func plan() Plan {
	return Plan{Name: "m", Pool: "p", From: "v1", To: "v2", MaxShare: 0.05, Soak: 10 * time.Second,
		Deadline: start.Add(time.Minute)}
}

func evidence(requests int, proved bool, alarm float64) []canary.RouteEvidence {
	return []canary.RouteEvidence{{Route: "r", Requests: requests, Proved: proved, BaselineRequests: 9, Alarm: alarm}}
}

func TestNext(t *testing.T) {
	at := func(stage message.Stage, share float64) Status {
		return Status{Stage: stage, Share: share, Since: start, Requests: 20}
	}
	cases := []struct {
		name   string
		status Status
		after  time.Duration
		inputs Inputs
		stage  message.Stage
		share  float64
	}{
		{"new", Status{}, 0, Inputs{}, message.StageLoading, 0},
		{"still loading", at(message.StageLoading, 0), time.Second, Inputs{}, message.StageLoading, 0},
		{"loaded", at(message.StageLoading, 0), time.Second, Inputs{Ready: true}, message.StageCanary, 0.05},
		{"canary unproved", at(message.StageCanary, 0.05), time.Second, Inputs{Evidence: evidence(9, false, 0)}, message.StageCanary, 0.05},
		{"canary without evidence", at(message.StageCanary, 0.05), time.Second, Inputs{}, message.StageCanary, 0.05},
		{"canary proved", at(message.StageCanary, 0.05), time.Second, Inputs{Evidence: evidence(30, true, 0)}, message.StageRamp, 0.25},
		{"canary alarmed", at(message.StageCanary, 0.05), time.Second, Inputs{Evidence: evidence(30, true, 0.6)}, message.StageCanary, 0.05},
		{"one route unproved", at(message.StageCanary, 0.05), time.Second, Inputs{
			Evidence: append(evidence(30, true, 0), canary.RouteEvidence{Route: "s", BaselineRequests: 5})}, message.StageCanary, 0.05},
		{"one route without traffic", at(message.StageCanary, 0.05), time.Second, Inputs{
			Evidence: append(evidence(30, true, 0), canary.RouteEvidence{Route: "s", BaselineRequests: 4})}, message.StageRamp, 0.25},
		{"ramp too early", at(message.StageRamp, 0.25), time.Second, Inputs{Evidence: evidence(99, true, 0)}, message.StageRamp, 0.25},
		{"ramp with too few requests", at(message.StageRamp, 0.25), 3 * time.Second, Inputs{Evidence: evidence(21, true, 0)}, message.StageRamp, 0.25},
		{"ramp with new owner and too few requests", at(message.StageRamp, 0.25), 3 * time.Second, Inputs{Evidence: evidence(9, false, 0)}, message.StageRamp, 0.25},
		{"ramp with new owner and enough requests", at(message.StageRamp, 0.25), 3 * time.Second, Inputs{Evidence: evidence(10, false, 0)}, message.StageRamp, 0.5},
		{"ramp", at(message.StageRamp, 0.25), 3 * time.Second, Inputs{Evidence: evidence(99, true, 0)}, message.StageRamp, 0.5},
		{"ramp ends", at(message.StageRamp, 0.9), 3 * time.Second, Inputs{Evidence: evidence(99, true, 0)}, message.StageSoak, 0.9},
		{"soaking", at(message.StageSoak, 0.9), 9 * time.Second, Inputs{Evidence: evidence(99, true, 0)}, message.StageSoak, 0.9},
		{"soaked", at(message.StageSoak, 0.9), 10 * time.Second, Inputs{Evidence: evidence(99, true, 0)}, message.StageDone, 1},
		{"bad", at(message.StageSoak, 0.9), time.Second, Inputs{Bad: &message.BadVersion{Route: "r"}}, message.StageReverted, 0},
		{"withdrawn", at(message.StageCanary, 0.05), time.Second, Inputs{Withdrawn: true}, message.StageReverted, 0},
		{"too late", at(message.StageCanary, 0.05), 45 * time.Second, Inputs{Evidence: evidence(9, false, 0)}, message.StageReverted, 0},
		{"done stays done", at(message.StageDone, 1), time.Hour, Inputs{Withdrawn: true}, message.StageDone, 1},
		{"reverted stays reverted", at(message.StageReverted, 0), time.Second, Inputs{Ready: true}, message.StageReverted, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := Next(plan(), c.status, start.Add(c.after), c.inputs)
			if got.Stage != c.stage || got.Share != c.share {
				t.Fatalf("got %s %.2f (%s), want %s %.2f", got.Stage, got.Share, got.Reason, c.stage, c.share)
			}
		})
	}
}

// Checks that a move that does not finish is reverted at the latest
// DefaultRevertMargin before its deadline, whatever stage it is stuck in.
func TestUnfinishedMoveIsRevertedBeforeTheDeadline(t *testing.T) {
	for _, stage := range []message.Stage{message.StageLoading, message.StageCanary, message.StageRamp, message.StageSoak} {
		status := Status{Stage: stage, Share: 0.25, Since: start}
		now := start
		for status.Stage != message.StageReverted {
			now = now.Add(100 * time.Millisecond)
			status = Next(plan(), status, now, Inputs{})
			if now.After(plan().Deadline) {
				t.Fatalf("%s: not reverted by the deadline", stage)
			}
		}
		if left := plan().Deadline.Sub(now); left < DefaultRevertMargin-time.Second {
			t.Errorf("%s: reverted only %v before the deadline", stage, left)
		}
	}
}

// Checks that a version with too little traffic for a proof is ramped at the
// last moment if all evidence favors it, and reverted otherwise.
func TestRampWithoutProofAtTheLastMoment(t *testing.T) {
	p := plan()
	p.AllowUnproved, p.Soak, p.StepDuration, p.RevertMargin = true, time.Second, time.Second, time.Second
	status := Status{Stage: message.StageCanary, Share: 0.05, Since: start}
	last := p.Deadline.Add(-MinTimeToFinish(p, status, p.Deadline) - p.StepDuration/2)
	for _, tt := range []struct {
		name     string
		at       time.Time
		evidence canary.RouteEvidence
		unproved bool
		want     message.Stage
	}{
		{"too early", start, canary.RouteEvidence{Requests: 12, BaselineRequests: 9, LogRatio: -1}, true, message.StageCanary},
		{"all evidence in favor", last, canary.RouteEvidence{Requests: 12, BaselineRequests: 9, LogRatio: -1}, true, message.StageRamp},
		{"not allowed", last, canary.RouteEvidence{Requests: 12, BaselineRequests: 9, LogRatio: -1}, false, message.StageCanary},
		{"evidence against it", last, canary.RouteEvidence{Requests: 12, BaselineRequests: 9, LogRatio: 0.1}, true, message.StageCanary},
		{"slower", last, canary.RouteEvidence{Requests: 12, BaselineRequests: 9, LogRatio: -1, SlowLogRatio: 0.1}, true, message.StageCanary},
		{"alarm", last, canary.RouteEvidence{Requests: 12, BaselineRequests: 9, LogRatio: -1, Alarm: 0.6}, true, message.StageCanary},
		{"too few requests", last, canary.RouteEvidence{Requests: 3, BaselineRequests: 9, LogRatio: -1}, true, message.StageCanary},
		{"no time left", p.Deadline, canary.RouteEvidence{Requests: 12, BaselineRequests: 9, LogRatio: -1}, true, message.StageReverted},
	} {
		p.AllowUnproved = tt.unproved
		got := Next(p, status, tt.at, Inputs{Ready: true, Evidence: []canary.RouteEvidence{tt.evidence}})
		if got.Stage != tt.want {
			t.Errorf("%s: got stage %s, want %s (%s)", tt.name, got.Stage, tt.want, got.Reason)
		}
	}
}
