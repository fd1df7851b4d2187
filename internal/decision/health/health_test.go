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
		t.Fatal("ejected after two failures")
	}
	e.RecordFailure(now)
	if !e.Ejected(now) || e.Ejected(now.Add(baseEjectionTime)) {
		t.Fatal("the first ejection does not last exactly baseEjectionTime")
	}
	now = now.Add(baseEjectionTime)
	e.RecordFailure(now)
	if !e.Ejected(now.Add(baseEjectionTime)) {
		t.Fatal("the second ejection is not longer than the first")
	}
	e.RecordSuccess()
	if e.Ejected(now) {
		t.Fatal("still ejected after a success")
	}
}

func TestMissedLoadReportsMakeEndpointUnreachable(t *testing.T) {
	var e Endpoint
	e.RecordLoadReport(false)
	if !e.Reachable() {
		t.Fatal("unreachable after one missing report")
	}
	e.RecordLoadReport(false)
	if e.Reachable() {
		t.Fatal("still reachable after two missing reports")
	}
	e.RecordLoadReport(true)
	if !e.Reachable() {
		t.Fatal("not reachable again after a report")
	}
}
