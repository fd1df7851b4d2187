package withdrawal

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// Guards against a restarted endpoint that gets no requests because its previous
// run was leaving, and against a leaving one that gets requests again.
func TestWithdrawalHoldsForOneIncarnation(t *testing.T) {
	tracker, old, restarted := New(), Incarnation{"i-1", 5}, Incarnation{"i-1", 6}
	if !tracker.Leave(old, start) || tracker.Leave(old, start) {
		t.Error("only the first word is news")
	}
	tracker.Rest(old, time.Second, start)
	if !tracker.Leaving(old) || tracker.Leaving(restarted) || tracker.RestLeft(restarted, start) > 0 {
		t.Error("the word of one run holds for another")
	}
	if later := start.Add(time.Hour); !tracker.Leaving(old) || tracker.RestLeft(old, later) > 0 {
		t.Error("leaving ends with time, or resting does not")
	}
}

// A shorter rest does not end a longer one, and no rest is longer than MaxRest.
func TestRestIsBounded(t *testing.T) {
	tracker, i := New(), Incarnation{Endpoint: "i-1"}
	tracker.Rest(i, 3*time.Second, start)
	tracker.Rest(i, time.Second, start)
	if left := tracker.RestLeft(i, start); left != 3*time.Second {
		t.Errorf("%v left, want 3s", left)
	}
	tracker.Rest(i, time.Hour, start)
	if left := tracker.RestLeft(i, start); left != MaxRest {
		t.Errorf("%v left after a rest of an hour, want %v", left, MaxRest)
	}
}

func TestTrackerIsBounded(t *testing.T) {
	tracker := New()
	for i := range maxIncarnations + 100 {
		tracker.Leave(Incarnation{Endpoint: fmt.Sprint(i)}, start.Add(time.Duration(i)))
	}
	if len(tracker.said) > maxIncarnations || tracker.Leaving(Incarnation{Endpoint: "0"}) ||
		!tracker.Leaving(Incarnation{Endpoint: fmt.Sprint(maxIncarnations + 99)}) {
		t.Errorf("%d incarnations are remembered, or the newest is forgotten", len(tracker.said))
	}
}
