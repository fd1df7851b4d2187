package trial

import (
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/verdict"
)

// minTokensSeen is how many tokens a cancelled attempt must have given for
// the time between them to count.
const minTokensSeen = 8

// observation returns what an outcome tells about the version that it ran
// on; false if that is nothing: the attempt did not run, the endpoint refused
// what the caller sent, or the caller gave up before the first token.
func observation(o *core.Outcome, kind core.Kind) (verdict.Observation, bool) {
	switch o.Result {
	case core.ResultLost:
		return verdict.Observation{Failed: true}, true
	case core.ResultFailed:
		return verdict.Observation{Failed: true}, !callerError(o.Status)
	case core.ResultOK:
		return times(o, kind), !callerError(o.Status)
	case core.ResultCancelled:
		seen := verdict.Observation{FirstToken: milliseconds(o.FirstTokenMS)}
		if o.OutputTokens >= minTokensSeen {
			seen.BetweenTokens = milliseconds(o.BetweenTokensMS)
		}
		return seen, seen.FirstToken > 0
	}
	return verdict.Observation{}, false
}

func times(o *core.Outcome, kind core.Kind) verdict.Observation {
	if kind == core.KindService {
		return verdict.Observation{FirstToken: milliseconds(o.TotalMS)}
	}
	return verdict.Observation{FirstToken: milliseconds(o.FirstTokenMS), BetweenTokens: milliseconds(o.BetweenTokensMS)}
}

// callerError tells whether an HTTP status blames the caller.
func callerError(status int) bool { return status >= 400 && status < 500 }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
