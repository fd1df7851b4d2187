package trial

import (
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/canary"
)

// minTokensForRate is how many tokens a cancelled attempt must have given for
// the time between them to count.
const minTokensForRate = 8

// EndpointState is the endpoint of an outcome as the owner of the pool saw it when the
// attempt ended.
type EndpointState struct {
	Kind core.Kind
	// Running is how many attempts were in progress on it, this one included.
	Running, Slots int
}

// loadClass is the class of loadClass on the endpoint.
func (p EndpointState) loadClass() int {
	class := canary.LoadClasses * (p.Running - 1) / max(1, p.Slots)
	return min(max(0, class), canary.LoadClasses-1)
}

// observation returns what an outcome tells about the version that it ran
// on; false if that is nothing: the attempt did not run, the endpoint refused
// what the caller sent, or the caller gave up before the first token.
func observation(o *core.Outcome, place EndpointState) (canary.Observation, bool) {
	switch o.Result {
	case core.ResultLost:
		return canary.Observation{Failed: true}, true
	case core.ResultFailed:
		return canary.Observation{Failed: true}, !callerError(o.Status)
	case core.ResultOK:
		return latencies(o, place), !callerError(o.Status)
	case core.ResultCancelled:
		seen := canary.Observation{FirstToken: milliseconds(o.FirstTokenMS), Load: place.loadClass()}
		if o.OutputTokens >= minTokensForRate {
			seen.BetweenTokens = milliseconds(o.BetweenTokensMS)
		}
		return seen, seen.FirstToken > 0
	}
	return canary.Observation{}, false
}

func latencies(o *core.Outcome, place EndpointState) canary.Observation {
	seen := canary.Observation{FirstToken: milliseconds(o.TotalMS), Load: place.loadClass()}
	if place.Kind == core.KindModel {
		seen.FirstToken, seen.BetweenTokens = milliseconds(o.FirstTokenMS), milliseconds(o.BetweenTokensMS)
	}
	return seen
}

// callerError tells whether an HTTP status blames the caller.
func callerError(status int) bool { return status >= 400 && status < 500 }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
