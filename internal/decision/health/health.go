// Package health decides when an endpoint that fails gets no work for a
// while. Without it an endpoint that fails fast has free slots all the time
// and draws the whole traffic.
package health

import "time"

const (
	// failuresToEject is how many attempts must fail in a row.
	failuresToEject = 3
	// missedReportsToUnreachable is how many load reports must be missing in a row.
	missedReportsToUnreachable = 2
	// baseEjectionTime and maxRest bound how long an endpoint gets no work.
	baseEjectionTime = time.Second
	maxEjectionTime  = 10 * time.Second
)

// Endpoint is the health of one endpoint as the owner of the shard sees it.
type Endpoint struct {
	consecutiveFailures int
	missedReports       int
	ejectionTime        time.Duration
	ejectedUntil        time.Time
}

// RecordSuccess notes an attempt that the endpoint answered.
func (e *Endpoint) RecordSuccess() {
	e.consecutiveFailures, e.ejectionTime, e.ejectedUntil = 0, 0, time.Time{}
}

// RecordFailure notes an attempt that the endpoint did not answer properly.
func (e *Endpoint) RecordFailure(now time.Time) {
	e.consecutiveFailures++
	if e.consecutiveFailures < failuresToEject || now.Before(e.ejectedUntil) {
		return
	}
	e.ejectionTime = min(maxEjectionTime, max(baseEjectionTime, 2*e.ejectionTime))
	e.ejectedUntil = now.Add(e.ejectionTime)
}

// RecordLoadReport notes a load report, or that it is missing.
func (e *Endpoint) RecordLoadReport(ok bool) {
	if ok {
		e.missedReports = 0
		return
	}
	e.missedReports++
}

// Reachable tells whether the load reports arrive.
func (e *Endpoint) Reachable() bool { return e.missedReports < missedReportsToUnreachable }

// Ejected tells whether the endpoint gets no work for now.
func (e *Endpoint) Ejected(now time.Time) bool { return now.Before(e.ejectedUntil) }

// IgnoreEjections tells whether resting endpoints get work after all: when at least
// half of the pool rests, the cause is probably not in the endpoints.
func IgnoreEjections(resting, total int) bool { return 2*resting >= total }
