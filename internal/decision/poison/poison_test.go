package poison

import (
	"fmt"
	"testing"
	"time"
)

func TestTracker(t *testing.T) {
	now := time.Unix(1000, 0)
	m := NewTracker()
	m.RecordDeath("f", "a", now)
	m.RecordDeath("f", "a", now.Add(time.Second))
	if m.Poisonous("f", now) {
		t.Error("one endpoint that died twice is one death")
	}
	m.RecordDeath("f", "b", now.Add(time.Second))
	if !m.Poisonous("f", now) {
		t.Error("two endpoints died")
	}
	if m.Poisonous("f", now.Add(Retention+time.Second)) {
		t.Error("a death is remembered for too long")
	}
	m.Clear("f")
	if m.Poisonous("f", now) {
		t.Error("not cleared")
	}
}

func TestTrackerIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	m := NewTracker()
	for i := range 2 * maxRequests {
		m.RecordDeath(fmt.Sprint(i), "a", now.Add(time.Duration(i)*time.Millisecond))
	}
	if len(m.byRequest) > maxRequests {
		t.Errorf("%d requests are remembered", len(m.byRequest))
	}
}
