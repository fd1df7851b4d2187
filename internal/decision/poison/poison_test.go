package poison

import (
	"fmt"
	"testing"
	"time"
)

func TestTracker(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker()
	tracker.RecordDeath("f", "a", now)
	tracker.RecordDeath("f", "a", now.Add(time.Second))
	if tracker.Poisonous("f", now) {
		t.Error("two deaths of one endpoint must count once")
	}
	tracker.RecordDeath("f", "b", now.Add(time.Second))
	if !tracker.Poisonous("f", now) {
		t.Error("two endpoints died, but the request is not poisonous")
	}
	if tracker.Poisonous("f", now.Add(Retention+time.Second)) {
		t.Error("a death is kept for too long")
	}
	tracker.Clear("f")
	if tracker.Poisonous("f", now) {
		t.Error("the request is still poisonous after its deaths were cleared")
	}
}

func TestTrackerIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker()
	for i := range 2 * maxRequests {
		tracker.RecordDeath(fmt.Sprint(i), "a", now.Add(time.Duration(i)*time.Millisecond))
	}
	if len(tracker.byRequest) > maxRequests {
		t.Errorf("deaths of %d requests are kept, more than maxRequests", len(tracker.byRequest))
	}
}
