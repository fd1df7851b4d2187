package outstanding

import (
	"fmt"
	"testing"
	"time"
)

var epoch = time.UnixMilli(1_700_000_000_000)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func add(b *Book, id, host string, ms int) {
	b.Add(&Attempt{ID: id, Host: host, Endpoint: "e", PrefillTokens: 100, OutputTokens: 50, Granted: at(ms)}, at(ms))
}

func listed(id string, output int) Listed {
	return Listed{Attempt: Attempt{ID: id, Host: "h", Endpoint: "e", OutputTokens: 50}, OutputSoFar: output}
}

func TestFullReportsConfirmAndRelease(t *testing.T) {
	b := NewBook()
	add(b, "listed", "h", 0)
	add(b, "unlisted", "h", 0)
	add(b, "other host", "g", 0)
	b.Heard("h", []Listed{listed("listed", 10), listed("unknown", 0)}, true, at(500))
	if b.Running("e") != 4 {
		t.Fatalf("%d running, want all and the unknown one", b.Running("e"))
	}
	if got := b.Tokens("e"); got != 40+50+150+150 {
		t.Fatalf("%d tokens", got)
	}
	released := b.Heard("h", []Listed{listed("unknown", 0)}, true, at(1000))
	if len(released) != 1 || released[0].ID != "listed" {
		t.Fatalf("released %v, want the one that was listed before", released)
	}
	released = b.Heard("h", []Listed{listed("unknown", 0)}, true, at(2000))
	if len(released) != 1 || released[0].ID != "unlisted" {
		t.Fatalf("released %v, want the one that was never listed", released)
	}
}

func TestSilentHostsAreReleased(t *testing.T) {
	b := NewBook()
	add(b, "a", "silent", 0)
	add(b, "b", "alive", 0)
	b.Heard("silent", nil, false, at(100))
	b.Heard("alive", nil, false, at(3000))
	if released := b.Silent(at(3000)); len(released) != 0 {
		t.Fatalf("released %v too early", released)
	}
	if released := b.Silent(at(3100)); len(released) != 1 || released[0].ID != "a" {
		t.Fatalf("released %v", released)
	}
}

func TestForeignWorkIsWhatTheReportShowsBeyondTheOwnCount(t *testing.T) {
	b := NewBook()
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
		b.Reported("e", Report{AsOf: at(test.asOf), Present: test.present, Received: at(test.now).Add(-10 * time.Millisecond)})
		now := at(test.now)
		if test.want == 0 && test.present == 5 {
			b.Reported("e", Report{AsOf: at(test.asOf), Present: 5, Received: at(2500)})
		}
		if got := b.Foreign("e", now); got != test.want {
			t.Errorf("%s: %d, want %d", test.name, got, test.want)
		}
	}
}
