package outstanding

import (
	"fmt"
	"testing"
	"time"
)

var epoch = time.UnixMilli(1_700_000_000_000)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func add(b *Tracker, id, host string, ms int) {
	b.Add(&Attempt{ID: id, Host: host, Endpoint: "e", PrefillTokens: 100, ExpectedOutputTokens: 50, GrantedAt: at(ms)}, at(ms))
}

func listed(id string, output int) ReportedAttempt {
	return ReportedAttempt{Attempt: Attempt{ID: id, Host: "h", Endpoint: "e", ExpectedOutputTokens: 50}, OutputReceived: output}
}

func TestFullReportsConfirmAndReleaseAttempts(t *testing.T) {
	b := NewTracker()
	add(b, "listed", "h", 0)
	add(b, "unlisted", "h", 0)
	add(b, "other host", "g", 0)
	b.ApplyHostReport("h", []ReportedAttempt{listed("listed", 10), listed("unknown", 0)}, true, at(500))
	if b.Running("e") != 4 {
		t.Fatalf("%d running, want all and the unknown one", b.Running("e"))
	}
	if got := b.RemainingTokens("e"); got != 40+50+150+150 {
		t.Fatalf("%d tokens", got)
	}
	released := b.ApplyHostReport("h", []ReportedAttempt{listed("unknown", 0)}, true, at(1000))
	if len(released) != 1 || released[0].ID != "listed" {
		t.Fatalf("released %v, want the one that was listed before", released)
	}
	released = b.ApplyHostReport("h", []ReportedAttempt{listed("unknown", 0)}, true, at(2000))
	if len(released) != 1 || released[0].ID != "unlisted" {
		t.Fatalf("released %v, want the one that was never listed", released)
	}
}

func TestAttemptsOfSilentHostsAreReleased(t *testing.T) {
	b := NewTracker()
	add(b, "a", "silent", 0)
	add(b, "b", "alive", 0)
	b.ApplyHostReport("silent", nil, false, at(100))
	b.ApplyHostReport("alive", nil, false, at(3000))
	if released := b.ExpireSilentHosts(at(3000)); len(released) != 0 {
		t.Fatalf("released %v too early", released)
	}
	if released := b.ExpireSilentHosts(at(3100)); len(released) != 1 || released[0].ID != "a" {
		t.Fatalf("released %v", released)
	}
}

func TestUntrackedIsTheReportedLoadAboveTheTrackedCount(t *testing.T) {
	b := NewTracker()
	for n := range 3 {
		add(b, fmt.Sprint(n), "h", 1000)
	}
	for n := range 3 {
		b.Remove(fmt.Sprint(n), at(2000))
	}
	for _, test := range []struct {
		name          string
		asOf, present int
		now, want     int
	}{
		{"as old as the own three", 1500, 3, 2500, 0},
		{"two more than the own three", 1500, 5, 2500, 2},
		{"after the own have ended", 4000, 2, 4100, 2},
		{"too old a report", 1500, 5, 9000, 0},
	} {
		b.SetLoadReport("e", LoadReport{AsOf: at(test.asOf), Requests: test.present, Received: at(test.now).Add(-10 * time.Millisecond)})
		now := at(test.now)
		if test.want == 0 && test.present == 5 {
			b.SetLoadReport("e", LoadReport{AsOf: at(test.asOf), Requests: 5, Received: at(2500)})
		}
		if got := b.Untracked("e", now); got != test.want {
			t.Errorf("%s: %d, want %d", test.name, got, test.want)
		}
	}
}
