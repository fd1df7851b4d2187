package warmup

import (
	"testing"
	"time"
)

// Guards against a new coordinator that takes an endpoint for warm which failed
// before it began, and against a failure that is told again and again after a
// success has shown that the endpoint runs.
func TestToldFailures(t *testing.T) {
	saw, begins := newOwner(), newOwner()
	saw.Failed("i-1", start)
	now := start.Add(time.Second)
	failures := saw.Failures(now)
	if len(failures) != 1 || failures[0].Ago != time.Second {
		t.Fatalf("told %+v", failures)
	}
	begins.Told(failures[0], now.Add(50*time.Millisecond))
	state, until := begins.StateOf("i-1", now)
	if seen := until.Sub(start); state != Suspect || seen < maxDowntime+rate.ColdFor || seen > maxDowntime+rate.ColdFor+toldTolerance {
		t.Errorf("%v until %v after the failure", state, seen)
	}
	now = now.Add(time.Second)
	begins.Succeeded("i-1", now, now)
	begins.Told(saw.Failures(now)[0], now.Add(time.Millisecond))
	if _, until := begins.StateOf("i-1", now); !until.Equal(now.Add(rate.ColdFor)) {
		t.Errorf("the success holds no more: until %v after it", until.Sub(now))
	}
	begins.Failed("i-1", now.Add(time.Second))
	if _, until := begins.StateOf("i-1", now); until.Sub(now) != time.Second+maxDowntime+rate.ColdFor {
		t.Errorf("a later failure counts for %v", until.Sub(now))
	}
	late := newOwner()
	late.Told(Failure{"i-1", maxDowntime + rate.ColdFor}, start)
	late.Told(Failure{"unknown", 0}, start)
	if state, _ := late.StateOf("i-1", start); state != Warm || len(late.Failures(start)) != 0 || len(saw.Failures(start.Add(time.Minute))) != 0 {
		t.Error("an old failure counts")
	}
}
