// Package health ejects failing endpoints from selection for a while. Without
// ejection, an endpoint that fails fast always has free slots and attracts all
// the traffic.
package health

import "time"

const (
	// failuresToEject is the number of consecutive failures that eject an
	// endpoint.
	failuresToEject = 3
	// missedReportsToUnreachable is the number of consecutive missing load
	// reports that make an endpoint unreachable.
	missedReportsToUnreachable = 2
	// baseEjectionTime and maxEjectionTime bound the duration of an ejection,
	// which doubles with each further one.
	baseEjectionTime = time.Second
	maxEjectionTime  = 10 * time.Second
)

// Endpoint tracks the health of one endpoint as observed by the owner of the
// shard.
type Endpoint struct {
	consecutiveFailures int
	missedReports       int
	ejectionTime        time.Duration
	ejectedUntil        time.Time
}

// RecordSuccess records an attempt that got a proper response, and ends the
// ejection.
func (e *Endpoint) RecordSuccess() {
	e.consecutiveFailures, e.ejectionTime, e.ejectedUntil = 0, 0, time.Time{}
}

// RecordFailure records a failed attempt and ejects the endpoint if too many
// have failed in a row.
func (e *Endpoint) RecordFailure(now time.Time) {
	e.consecutiveFailures++
	if e.consecutiveFailures < failuresToEject || now.Before(e.ejectedUntil) {
		return
	}
	e.ejectionTime = min(maxEjectionTime, max(baseEjectionTime, 2*e.ejectionTime))
	e.ejectedUntil = now.Add(e.ejectionTime)
}

// RecordLoadReport records whether a load report was received.
func (e *Endpoint) RecordLoadReport(ok bool) {
	if ok {
		e.missedReports = 0
		return
	}
	e.missedReports++
}

// Reachable reports whether load reports are being received.
func (e *Endpoint) Reachable() bool { return e.missedReports < missedReportsToUnreachable }

// Ejected reports whether the endpoint is currently excluded from new work.
func (e *Endpoint) Ejected(now time.Time) bool { return now.Before(e.ejectedUntil) }

// IgnoreEjections reports whether ejected endpoints are used regardless: when
// at least half of a pool is ejected, the cause is probably not the endpoints.
func IgnoreEjections(ejected, total int) bool { return 2*ejected >= total }
