package poison

import (
	"fmt"
	"testing"
	"time"
)

func TestMarks(t *testing.T) {
	now := time.Unix(1000, 0)
	m := NewMarks()
	m.Add("f", "a", now)
	m.Add("f", "a", now.Add(time.Second))
	if m.Poisonous("f", now) {
		t.Error("one endpoint that died twice is one death")
	}
	m.Add("f", "b", now.Add(time.Second))
	if !m.Poisonous("f", now) {
		t.Error("two endpoints died")
	}
	if m.Poisonous("f", now.Add(Lifetime+time.Second)) {
		t.Error("a death is remembered for too long")
	}
	m.Clear("f")
	if m.Poisonous("f", now) {
		t.Error("not cleared")
	}
}

func TestMarksAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	m := NewMarks()
	for i := range 2 * maxRequests {
		m.Add(fmt.Sprint(i), "a", now.Add(time.Duration(i)*time.Millisecond))
	}
	if len(m.byRequest) > maxRequests {
		t.Errorf("%d requests are remembered", len(m.byRequest))
	}
}
