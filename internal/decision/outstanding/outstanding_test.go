package outstanding

import (
	"fmt"
	"testing"
	"time"
)

var epoch = time.UnixMilli(1_700_000_000_000)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func add(tracker *Tracker, id, host string, ms int) {
	tracker.Add(&Attempt{ID: id, Host: host, Endpoint: "e", PrefillTokens: 100, ExpectedOutputTokens: 50, GrantedAt: at(ms)}, at(ms))
}

func listed(id string, output int) ReportedAttempt {
	return ReportedAttempt{Attempt: Attempt{ID: id, Host: "h", Endpoint: "e", ExpectedOutputTokens: 50}, OutputReceived: output}
}

func TestFullReportsConfirmAndRemoveAttempts(t *testing.T) {
	tracker := NewTracker()
	add(tracker, "listed", "h", 0)
	add(tracker, "unlisted", "h", 0)
	add(tracker, "other host", "g", 0)
	tracker.ApplyHostReport("h", []ReportedAttempt{listed("listed", 10), listed("unknown", 0)}, true, at(500))
	if tracker.Running("e") != 4 {
		t.Fatalf("%d running, want all and the unknown one", tracker.Running("e"))
	}
	if got := tracker.RemainingTokens("e"); got != 40+50+150+150 {
		t.Fatalf("%d tokens", got)
	}
	released := tracker.ApplyHostReport("h", []ReportedAttempt{listed("unknown", 0)}, true, at(1000))
	if len(released) != 1 || released[0].ID != "listed" {
		t.Fatalf("released %v, want the one that was listed before", released)
	}
	released = tracker.ApplyHostReport("h", []ReportedAttempt{listed("unknown", 0)}, true, at(2000))
	if len(released) != 1 || released[0].ID != "unlisted" {
		t.Fatalf("released %v, want the one that was never listed", released)
	}
}

func TestAttemptsOfSilentHostsAreRemoved(t *testing.T) {
	tracker := NewTracker()
	add(tracker, "a", "silent", 0)
	add(tracker, "b", "alive", 0)
	tracker.ApplyHostReport("silent", nil, false, at(100))
	tracker.ApplyHostReport("alive", nil, false, at(3000))
	if released := tracker.ExpireSilentHosts(at(3000)); len(released) != 0 {
		t.Fatalf("released %v too early", released)
	}
	if released := tracker.ExpireSilentHosts(at(3100)); len(released) != 1 || released[0].ID != "a" {
		t.Fatalf("released %v", released)
	}
}

func TestUntrackedIsTheReportedLoadAboveTheTrackedCount(t *testing.T) {
	tracker := NewTracker()
	for n := range 3 {
		add(tracker, fmt.Sprint(n), "h", 1000)
	}
	for n := range 3 {
		tracker.Remove(fmt.Sprint(n), at(2000))
	}
	for _, test := range []struct {
		name          string
		asOf, present int
		now, want     int
	}{
		{"report of the three tracked", 1500, 3, 2500, 0},
		{"two more than the three tracked", 1500, 5, 2500, 2},
		{"report after the tracked ones ended", 4000, 2, 4100, 2},
		{"report too old", 1500, 5, 9000, 0},
	} {
		tracker.SetLoadReport("e", LoadReport{AsOf: at(test.asOf), Requests: test.present, Received: at(test.now).Add(-10 * time.Millisecond)})
		now := at(test.now)
		if test.want == 0 && test.present == 5 {
			tracker.SetLoadReport("e", LoadReport{AsOf: at(test.asOf), Requests: 5, Received: at(2500)})
		}
		if got := tracker.Untracked("e", now); got != test.want {
			t.Errorf("%s: %d, want %d", test.name, got, test.want)
		}
	}
}
