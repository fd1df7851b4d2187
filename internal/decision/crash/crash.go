// Package crash decides whether an endpoint that lost an answer has ended.
package crash

import (
	"time"

	"kingcupcourse/internal/decision/catalog"
)

// WatchTime is for how long after a loss an endpoint may show that it has ended. It
// covers the restart of an endpoint and the time until its new entry is read.
const WatchTime = 8 * time.Second

// checkDelays are the times after a loss at which the endpoint's port is checked again. A
// process that ends may close its connections before its port.
var checkDelays = []time.Duration{50 * time.Millisecond, 500 * time.Millisecond}

// CheckDelay returns how long after the loss the port is checked again, after the given
// number of such checks. It returns false if there are no more.
func CheckDelay(checks int) (time.Duration, bool) {
	if checks >= len(checkDelays) {
		return 0, false
	}
	return checkDelays[checks], true
}

// Verdict is what the entries of the endpoints tell of one that lost an answer.
type Verdict int

// The verdicts.
const (
	// Unknown means that the entries do not tell.
	Unknown Verdict = iota
	// Ended means that a later run listens at the endpoint's address, as a supervisor
	// that keeps the port open lets it.
	Ended
	// Leaving means that the endpoint ends as planned.
	Leaving
)

// Judge returns the verdict on an endpoint by the present entries.
func Judge(lost catalog.Endpoint, present []catalog.Endpoint) Verdict {
	for _, e := range present {
		switch {
		case e.Address != lost.Address:
		case e.StartedAt.After(lost.StartedAt):
			return Ended
		case e.Name == lost.Name && e.Draining:
			return Leaving
		}
	}
	return Unknown
}
