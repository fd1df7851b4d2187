package trial

import (
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/verdict"
)

// minTokensSeen is how many tokens a cancelled attempt must have given for
// the time between them to count.
const minTokensSeen = 8

// Place is the endpoint of an outcome as the owner of the pool saw it when the
// attempt ended.
type Place struct {
	Kind core.Kind
	// Running is how many attempts were in progress on it, this one included.
	Running, Slots int
}

// load is the class of load on the endpoint.
func (p Place) load() int {
	class := verdict.LoadClasses * (p.Running - 1) / max(1, p.Slots)
	return min(max(0, class), verdict.LoadClasses-1)
}

// observation returns what an outcome tells about the version that it ran
// on; false if that is nothing: the attempt did not run, the endpoint refused
// what the caller sent, or the caller gave up before the first token.
func observation(o *core.Outcome, place Place) (verdict.Observation, bool) {
	switch o.Result {
	case core.ResultLost:
		return verdict.Observation{Failed: true}, true
	case core.ResultFailed:
		return verdict.Observation{Failed: true}, !callerError(o.Status)
	case core.ResultOK:
		return times(o, place), !callerError(o.Status)
	case core.ResultCancelled:
		seen := verdict.Observation{FirstToken: milliseconds(o.FirstTokenMS), Load: place.load()}
		if o.OutputTokens >= minTokensSeen {
			seen.BetweenTokens = milliseconds(o.BetweenTokensMS)
		}
		return seen, seen.FirstToken > 0
	}
	return verdict.Observation{}, false
}

func times(o *core.Outcome, place Place) verdict.Observation {
	seen := verdict.Observation{FirstToken: milliseconds(o.TotalMS), Load: place.load()}
	if place.Kind == core.KindModel {
		seen.FirstToken, seen.BetweenTokens = milliseconds(o.FirstTokenMS), milliseconds(o.BetweenTokensMS)
	}
	return seen
}

// callerError tells whether an HTTP status blames the caller.
func callerError(status int) bool { return status >= 400 && status < 500 }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
