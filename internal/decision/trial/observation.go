package trial

import (
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/canary"
)

// minTokensForRate is how many tokens a cancelled attempt must have produced for
// the time between them to count.
const minTokensForRate = 8

// EndpointState is the state of an outcome's endpoint as the owner of the pool
// saw it when the attempt ended.
type EndpointState struct {
	Kind core.Kind
	// Running is how many attempts were in progress on it, including this one.
	Running, Slots int
}

// loadClass returns the load class of the endpoint.
func (e EndpointState) loadClass() int {
	class := canary.LoadClasses * (e.Running - 1) / max(1, e.Slots)
	return min(max(0, class), canary.LoadClasses-1)
}

// observation returns what an outcome tells about the version that it ran on. It
// returns false if that is nothing: the attempt did not run, the endpoint
// rejected what the caller sent, or the caller gave up before the first token.
func observation(o *core.Outcome, endpoint EndpointState) (canary.Observation, bool) {
	switch o.Result {
	case core.ResultLost:
		return canary.Observation{Failed: true}, true
	case core.ResultFailed:
		return canary.Observation{Failed: true}, !callerError(o.Status)
	case core.ResultOK:
		return latencies(o, endpoint), !callerError(o.Status)
	case core.ResultCancelled:
		observed := canary.Observation{FirstToken: milliseconds(o.FirstTokenMS), Elapsed: milliseconds(o.TotalMS),
			Load: endpoint.loadClass(), Endpoint: o.Endpoint, Batched: endpoint.Kind == core.KindModel}
		if o.OutputTokens >= minTokensForRate {
			observed.BetweenTokens = milliseconds(o.BetweenTokensMS)
		}
		return observed, observed.FirstToken > 0
	}
	return canary.Observation{}, false
}

func latencies(o *core.Outcome, endpoint EndpointState) canary.Observation {
	observed := canary.Observation{FirstToken: milliseconds(o.TotalMS), Elapsed: milliseconds(o.TotalMS),
		Load: endpoint.loadClass(), Endpoint: o.Endpoint}
	if endpoint.Kind == core.KindModel {
		observed.Batched = true
		observed.FirstToken, observed.BetweenTokens = milliseconds(o.FirstTokenMS), milliseconds(o.BetweenTokensMS)
	}
	return observed
}

// callerError reports whether an HTTP status is an error of the caller (4xx).
func callerError(status int) bool { return status >= 400 && status < 500 }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
