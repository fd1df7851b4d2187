package health

import (
	"testing"
	"time"
)

func TestEndpointIsEjectedAfterConsecutiveFailures(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	var e Endpoint
	e.RecordFailure(now)
	e.RecordFailure(now)
	if e.Ejected(now) {
		t.Fatal("rests too early")
	}
	e.RecordFailure(now)
	if !e.Ejected(now) || e.Ejected(now.Add(baseEjectionTime)) {
		t.Fatal("the first rest")
	}
	now = now.Add(baseEjectionTime)
	e.RecordFailure(now)
	if !e.Ejected(now.Add(baseEjectionTime)) {
		t.Fatal("the second rest is not longer")
	}
	e.RecordSuccess()
	if e.Ejected(now) {
		t.Fatal("rests after a success")
	}
}

func TestMissedLoadReportsMakeEndpointUnreachable(t *testing.T) {
	var e Endpoint
	e.RecordLoadReport(false)
	if !e.Reachable() {
		t.Fatal("one missing report is enough")
	}
	e.RecordLoadReport(false)
	if e.Reachable() {
		t.Fatal("still reachable")
	}
	e.RecordLoadReport(true)
	if !e.Reachable() {
		t.Fatal("not reachable again")
	}
}
