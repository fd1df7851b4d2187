package canary

import (
	"slices"
	"time"
)

// maxFastPeriods limits the periods of fast observations that are kept.
const maxFastPeriods = 64

// pauseKey identifies the observations that one pause may make slow. The endpoint is
// empty for a pause of all of them.
type pauseKey struct {
	kind     Kind
	endpoint string
}

// period is the time that an observation is about.
type period struct{ start, end time.Time }

func (p period) contains(other period) bool {
	return !other.start.Before(p.start) && !other.end.After(p.end)
}

// pauseFilter tells slow observations with causes of their own from those that one
// pause may have made slow. A pause delays every request in progress, so a request
// that was fast throughout the period of a slow one shows that the slow one has
// another cause. Each fast observation is used once. Of the other slow observations
// one counts in an interval. On endpoints that run batches all are others, as a
// burst of requests delays some of them and not the rest.
type pauseFilter struct {
	interval time.Duration
	fast     []period
	lastSlow time.Time
}

// counts reports whether an observation counts.
func (f *pauseFilter) counts(slow, batched bool, during period) bool {
	switch {
	case !slow && batched:
		return true
	case !slow:
		if len(f.fast) == maxFastPeriods {
			f.fast = slices.Delete(f.fast, 0, 1)
		}
		f.fast = append(f.fast, during)
		return true
	}
	if i := slices.IndexFunc(f.fast, during.contains); i >= 0 {
		f.fast = slices.Delete(f.fast, i, i+1)
		return true
	}
	if during.end.Sub(f.lastSlow) < f.interval {
		return false
	}
	f.lastSlow = during.end
	return true
}
