// Package health decides when an endpoint that fails gets no work for a
// while. Without it an endpoint that fails fast has free slots all the time
// and draws the whole traffic.
package health

import "time"

const (
	// failuresToRest is how many attempts must fail in a row.
	failuresToRest = 3
	// pollFailures is how many load reports must be missing in a row.
	pollFailures = 2
	// firstRest and maxRest bound how long an endpoint gets no work.
	firstRest = time.Second
	maxRest   = 10 * time.Second
)

// Endpoint is the health of one endpoint as the owner of the shard sees it.
type Endpoint struct {
	failed int
	missed int
	rest   time.Duration
	until  time.Time
}

// Succeeded notes an attempt that the endpoint answered.
func (e *Endpoint) Succeeded() { e.failed, e.rest, e.until = 0, 0, time.Time{} }

// Failed notes an attempt that the endpoint did not answer properly.
func (e *Endpoint) Failed(now time.Time) {
	e.failed++
	if e.failed < failuresToRest || now.Before(e.until) {
		return
	}
	e.rest = min(maxRest, max(firstRest, 2*e.rest))
	e.until = now.Add(e.rest)
}

// Polled notes a load report, or that it is missing.
func (e *Endpoint) Polled(ok bool) {
	if ok {
		e.missed = 0
		return
	}
	e.missed++
}

// Reachable tells whether the load reports arrive.
func (e *Endpoint) Reachable() bool { return e.missed < pollFailures }

// Resting tells whether the endpoint gets no work for now.
func (e *Endpoint) Resting(now time.Time) bool { return now.Before(e.until) }

// Excuse tells whether resting endpoints get work after all: when at least
// half of the pool rests, the cause is probably not in the endpoints.
func Excuse(resting, total int) bool { return 2*resting >= total }
