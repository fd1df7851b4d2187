package health

import (
	"testing"
	"time"
)

func TestEndpointRestsAfterFailuresInARow(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	var e Endpoint
	e.Failed(now)
	e.Failed(now)
	if e.Resting(now) {
		t.Fatal("rests too early")
	}
	e.Failed(now)
	if !e.Resting(now) || e.Resting(now.Add(firstRest)) {
		t.Fatal("the first rest")
	}
	now = now.Add(firstRest)
	e.Failed(now)
	if !e.Resting(now.Add(firstRest)) {
		t.Fatal("the second rest is not longer")
	}
	e.Succeeded()
	if e.Resting(now) {
		t.Fatal("rests after a success")
	}
}

func TestMissingReportsMakeItUnreachable(t *testing.T) {
	var e Endpoint
	e.Polled(false)
	if !e.Reachable() {
		t.Fatal("one missing report is enough")
	}
	e.Polled(false)
	if e.Reachable() {
		t.Fatal("still reachable")
	}
	e.Polled(true)
	if !e.Reachable() {
		t.Fatal("not reachable again")
	}
}
