package draining

import (
	"testing"
	"time"
)

func at(seconds int) time.Time { return time.UnixMilli(int64(seconds) * 1000) }

func TestDecide(t *testing.T) {
	// The list shows "a" leaving at 100 s and live at 200 s, "b" always live.
	l := NewPlatformList()
	l.Update(map[string]bool{"a": false, "b": false}, at(1))
	l.Update(map[string]bool{"a": true, "b": false}, at(100))
	if leaving, change := l.Decide("a", State{}, at(100)); !leaving || !change {
		t.Error("the list must make an endpoint leaving")
	}
	if _, change := l.Decide("a", State{Draining: false, ObservedAt: at(150)}, at(151)); change {
		t.Error("a later sign of life must not be undone by the older list")
	}
	l.Update(map[string]bool{"a": false, "b": false}, at(200))
	for _, c := range []struct {
		name    string
		refused int
		now     int
		lift    bool
	}{
		{"a", 199, 205, false},
		{"a", 199, 209, true},
		{"a", 201, 211, false}, // refused after the list showed it live
		{"a", 201, 261, true},
		{"b", 201, 215, false}, // the list has not caught up
		{"b", 201, 261, true},
		{"unlisted", 1, 1000, false},
	} {
		leaving, change := l.Decide(c.name, State{Draining: true, ObservedAt: at(c.refused)}, at(c.now))
		if change != c.lift || leaving == c.lift {
			t.Errorf("%+v: got leaving %v, change %v", c, leaving, change)
		}
	}
}

func TestShouldAnnounceLimitsRepeats(t *testing.T) {
	leaving := State{Draining: true, ObservedAt: at(10)}
	if ShouldAnnounce(leaving, at(11)) || !ShouldAnnounce(leaving, at(12)) || !ShouldAnnounce(State{}, at(11)) {
		t.Error("a refusal is news when the endpoint was not leaving or the last is RefreshAfter old")
	}
}
