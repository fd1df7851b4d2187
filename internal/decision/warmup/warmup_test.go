package warmup

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	start = time.Unix(1000, 0)
	rate  = Rate{PerSecond: 10, Overage: 1.5, Slack: 5, ColdFor: 3 * time.Second}
)

func entry(started int64, coldUntil time.Time) map[string]Entry {
	return map[string]Entry{"i-1": {StartedUnixMS: started, ColdUntil: coldUntil, Rate: rate}}
}

// newOwner returns a limiter that has owned the endpoint, which is warm, for some
// time.
func newOwner() *Limiter {
	l := New()
	l.SetEntries(entry(1, time.Time{}), false, start)
	l.SetOwner("i-1", true, start)
	return l
}

// drain grants what the limiter allows, 1000 at most.
func drain(l *Limiter, now time.Time) int {
	granted := 0
	for granted < 1000 && l.Allows("i-1", now) {
		l.Grant("i-1", now)
		granted++
	}
	return granted
}

func TestShareLeavesRoomForASecondOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Rate{PerSecond: rapid.Float64Range(0, 500).Draw(t, "per_second"), Overage: rapid.Float64Range(0, 3).Draw(t, "overage"),
			Slack: rapid.Float64Range(0, 50).Draw(t, "slack")}
		if 2*r.Share() > r.Bound() || r.Share() < 0 {
			t.Fatalf("%+v: two owners may grant %d each of %d", r, r.Share(), r.Bound())
		}
	})
	if got := rate.Share(); got != 8 {
		t.Errorf("an owner may grant %d of 20, want 8", got)
	}
	if (Rate{}).Enabled() || (Rate{PerSecond: 10}).Enabled() {
		t.Error("a rate without the operator's tolerance is enabled")
	}
}

// Guards against a service without a cold rate being limited.
func TestNoRateIsNoLimit(t *testing.T) {
	l := New()
	l.SetEntries(map[string]Entry{"i-1": {ColdUntil: start.Add(time.Hour)}}, true, start)
	l.Failed("i-1", start)
	if got := drain(l, start); got != 1000 {
		t.Errorf("granted %d", got)
	}
	if state, _ := l.StateOf("unknown", start); state != Warm || !l.Allows("unknown", start) {
		t.Error("an unknown endpoint is limited")
	}
}

// Each way by which a host learns that an endpoint is cold keeps requests back for
// the time that it names, and the limit then grows by steps.
func TestColdUntilWarm(t *testing.T) {
	for name, c := range map[string]struct {
		learn func(l *Limiter)
		state State
		lasts time.Duration
	}{
		"listed":    {func(l *Limiter) { l.SetEntries(entry(1, start.Add(2*time.Second)), true, start) }, Cold, 2 * time.Second},
		"said":      {func(l *Limiter) { l.SaidCold("i-1", 2*time.Second, start) }, Cold, 2 * time.Second},
		"restarted": {func(l *Limiter) { l.SetEntries(entry(start.UnixMilli(), time.Time{}), true, start) }, Cold, rate.ColdFor},
		"failed":    {func(l *Limiter) { l.Failed("i-1", start) }, Suspect, maxDowntime + rate.ColdFor},
		"failed, then served": {func(l *Limiter) {
			l.Failed("i-1", start)
			l.Succeeded("i-1", start.Add(-1), start) // an attempt of before the failure proves nothing
			if _, until := l.StateOf("i-1", start); until.Sub(start) < maxDowntime {
				t.Errorf("an attempt made before the failure ended the suspicion")
			}
			l.Succeeded("i-1", start.Add(1), start)
			l.Succeeded("i-1", start.Add(2), start.Add(time.Second)) // later ones prolong nothing
		}, Suspect, rate.ColdFor},
	} {
		l := New()
		l.SetEntries(entry(1, time.Time{}), false, start.Add(-time.Hour))
		l.SetOwner("i-1", true, start.Add(-time.Hour))
		if drain(l, start.Add(-time.Hour)) != 1000 {
			t.Fatal("a warm endpoint is limited")
		}
		c.learn(l)
		state, until := l.StateOf("i-1", start)
		if state != c.state || until.Sub(start) != c.lasts {
			t.Errorf("%s: %v for %v, want %v for %v", name, state, until.Sub(start), c.state, c.lasts)
		}
		if got := drain(l, start); got != rate.Share() {
			t.Errorf("%s: granted %d", name, got)
		}
		if got := drain(l, until.Add(-1)); got != rate.Share() {
			t.Errorf("%s: granted %d at the end of the cold time", name, got)
		}
		for step, want := range []int{2 * rate.Share(), 1000} {
			if got := drain(l, until.Add(Window*time.Duration(step)+Window/2)); got < want-rate.Share() || got > want {
				t.Errorf("%s: granted %d in window %d after it, want %d", name, got, step, want)
			}
		}
	}
}

// Guards against a rush to an endpoint that restarted or was emptied without a sign:
// it had no requests while others had, and becomes the least busy one.
func TestIdleEndpointIsApproachedByDegrees(t *testing.T) {
	l := New()
	entries := entry(1, time.Time{})
	entries["i-2"] = entries["i-1"]
	l.SetEntries(entries, false, start)
	now := start
	l.SetOwner("i-1", true, now)
	for range 60 {
		l.Grant("i-2", now)
		now = now.Add(100 * time.Millisecond)
	}
	if got := drain(l, now); got != rate.Share() {
		t.Errorf("granted %d at once to an idle endpoint, want %d", got, rate.Share())
	}
	if _, limited := l.Limit("i-2", now); limited {
		t.Error("the busy endpoint is limited")
	}
	quiet := newOwner()
	if got := drain(quiet, start.Add(time.Hour)); got != 1000 {
		t.Errorf("granted %d to the only endpoint after a quiet hour", got)
	}
}

// A host that does not own the endpoint grants nothing while it is cold, and a new
// owner nothing for a window.
func TestOnlyTheOwnerGrants(t *testing.T) {
	l := New()
	l.SetEntries(entry(1, start.Add(time.Minute)), false, start)
	if drain(l, start) != 0 {
		t.Error("a host that is not the owner granted a request")
	}
	l.SetOwner("i-1", true, start)
	l.SetOwner("i-1", true, start.Add(Window/2))
	if drain(l, start.Add(Window-1)) != 0 {
		t.Error("a new owner granted a request at once")
	}
	if got := drain(l, start.Add(Window)); got != rate.Share() {
		t.Errorf("the owner granted %d", got)
	}
	l.SetOwner("i-1", false, start.Add(2*Window))
	if drain(l, start.Add(3*Window)) != 0 {
		t.Error("a previous owner granted a request")
	}
	l.SetOwner("i-1", true, start.Add(4*Window))
	if drain(l, start.Add(4*Window+handover-1)) != 0 || drain(l, start.Add(4*Window+handover)) != rate.Share() {
		t.Error("the owner of a known endpoint granted before the handover, or nothing after it")
	}
}

// Guards against all endpoints being taken for cold when their entries come back after
// an outage of the store, to hosts that have started in it.
func TestEndpointThatOnlyComesBackToTheListIsWarm(t *testing.T) {
	l := New()
	l.SetEntries(nil, false, start)
	l.SetEntries(entry(start.Add(-time.Minute).UnixMilli(), time.Time{}), true, start)
	if state, _ := l.StateOf("i-1", start); state != Warm {
		t.Errorf("an endpoint that has run for a minute is %v", state)
	}
}

// An entry that comes back after a minute is a new one; a state does not outlive it.
func TestUnlistedEndpointIsForgotten(t *testing.T) {
	l := newOwner()
	l.Failed("i-1", start)
	l.SetEntries(nil, true, start)
	l.SetEntries(entry(1, time.Time{}), true, start.Add(time.Second))
	if state, _ := l.StateOf("i-1", start.Add(time.Second)); state != Suspect {
		t.Errorf("a short gap in the list made the endpoint %v", state)
	}
	l.SetEntries(nil, true, start.Add(time.Second))
	l.SetEntries(nil, true, start.Add(2*rememberFor))
	if len(l.endpoints) != 0 {
		t.Error("an endpoint without an entry is kept")
	}
	if fmt.Sprint(Warm, Warming, Suspect, Cold) != "warm warming suspect cold" {
		t.Error("states have wrong names")
	}
}
