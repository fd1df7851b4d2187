package warmup

import "time"

// toldTolerance is how much later than in truth a failure may seem to be that
// another host tells: its message was on the way.
const toldTolerance = 500 * time.Millisecond

// Failure is a failure of an endpoint as one host tells it to another.
type Failure struct {
	Endpoint string
	Ago      time.Duration
}

// Failures returns the failures after which endpoints may still be cold, in no
// particular order.
func (l *Limiter) Failures(now time.Time) []Failure {
	var failures []Failure
	for name, e := range l.endpoints {
		if now.Before(e.suspectUntil) {
			failures = append(failures, Failure{name, now.Sub(e.failedAt)})
		}
	}
	return failures
}

// Told records a failure that another host saw. One that is known already, or is
// older than a known one, changes nothing, so that what a success has shown since
// holds however often the failure is told.
func (l *Limiter) Told(f Failure, now time.Time) {
	e, at := l.endpoints[f.Endpoint], now.Add(-max(0, f.Ago))
	if e == nil || !e.Rate.Enabled() || !at.After(e.failedAt.Add(toldTolerance)) {
		return
	}
	if until := at.Add(maxDowntime + e.Rate.ColdFor); now.Before(until) {
		e.failedAt, e.unproven, e.suspectUntil = at, true, later(e.suspectUntil, until)
	}
}
