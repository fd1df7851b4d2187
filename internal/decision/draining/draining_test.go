package draining

import (
	"testing"
	"time"
)

func at(seconds int) time.Time { return time.UnixMilli(int64(seconds) * 1000) }

func TestDecide(t *testing.T) {
	// The list shows "a" as draining at 100 s and as live at 200 s, and "b" as
	// live throughout.
	l := NewPlatformList()
	l.Update(map[string]bool{"a": false, "b": false}, at(1))
	l.Update(map[string]bool{"a": true, "b": false}, at(100))
	if draining, change := l.Decide("a", State{}, at(100)); !draining || !change {
		t.Error("an endpoint that the list shows as draining must be draining")
	}
	if _, change := l.Decide("a", State{Draining: false, ObservedAt: at(150)}, at(151)); change {
		t.Error("a later live observation must not be overridden by the older list")
	}
	l.Update(map[string]bool{"a": false, "b": false}, at(200))
	for _, c := range []struct {
		name    string
		refused int
		now     int
		readmit bool
	}{
		{"a", 199, 205, false},
		{"a", 199, 209, true},
		{"a", 201, 211, false}, // refused after the list showed it as live
		{"a", 201, 261, true},
		{"b", 201, 215, false}, // the list has not caught up
		{"b", 201, 261, true},
		{"unlisted", 1, 1000, false},
	} {
		draining, change := l.Decide(c.name, State{Draining: true, ObservedAt: at(c.refused)}, at(c.now))
		if change != c.readmit || draining == c.readmit {
			t.Errorf("%+v: got draining %v, change %v", c, draining, change)
		}
	}
}

func TestShouldAnnounceLimitsRepeats(t *testing.T) {
	draining := State{Draining: true, ObservedAt: at(10)}
	if ShouldAnnounce(draining, at(11)) || !ShouldAnnounce(draining, at(12)) || !ShouldAnnounce(State{}, at(11)) {
		t.Error("a refusal must be announced if the endpoint was not draining or the last is ReannounceAfter old")
	}
}
