package placement

import (
	"github.com/cespare/xxhash/v2"

	"kingcupcourse/internal/decision/spill"
)

// leftZone returns why an endpoint is in another zone than this host, empty if it
// is not. cause is why its shard was asked.
func (c *Client) leftZone(placed Placed, cause spill.Cause) spill.Cause {
	switch {
	case placed.Endpoint.AvailabilityZone == c.zone:
		return ""
	case cause == spill.CauseNone:
		return causeShard
	}
	return cause
}

// causeAfter returns why the target was asked, given whether a coordinator before it
// refused the request.
func (t target) causeAfter(refused bool) spill.Cause {
	if t.cause == spill.CauseRefused && !refused {
		return spill.CauseSilent
	}
	return t.cause
}

// uniform returns a number in [0, 1) for an attempt.
func uniform(attempt string) float64 {
	return float64(xxhash.Sum64String(attempt)>>11) / (1 << 53)
}
