package verdict

import (
	"slices"
	"time"
)

const (
	// baselineCapacity bounds how many observations of the proved version
	// are kept for a route.
	baselineCapacity = 512
	// baselineMinimum is how many are needed before times are compared.
	baselineMinimum = 20
	// slowQuantile is the quantile that times are compared with.
	slowQuantile = 0.95
	// priorRequests is the weight of the base rate in the error rate.
	priorRequests = 20
	// limitRefresh is how many new observations make the limits be computed
	// again; sorting the window for each would dominate the cost.
	limitRefresh = 32
)

// dated is an observation with its time.
type dated struct {
	at time.Time
	Observation
}

// baseline is the newest observations of the proved version on a route.
type baseline struct {
	window []dated
	// failed counts the failed observations in the window.
	failed int
	// added counts observations since the limits were computed.
	added int
	// limits is the slow quantile by the least load that counts.
	limits [LoadClasses][kinds]time.Duration
}

func (b *baseline) add(now time.Time, o Observation) {
	if len(b.window) == baselineCapacity {
		b.drop(1)
	}
	b.window = append(b.window, dated{now, o})
	b.failed += countFailed(b.window[len(b.window)-1:])
	b.added++
}

func (b *baseline) expire(before time.Time) {
	first := 0
	for first < len(b.window) && b.window[first].at.Before(before) {
		first++
	}
	b.drop(first)
}

// drop forgets the oldest n observations. The slice only moves forward;
// append moves it to a new array when it meets the end of the old one.
func (b *baseline) drop(n int) {
	b.failed -= countFailed(b.window[:n])
	b.window = b.window[n:]
}

func countFailed(observations []dated) int {
	failed := 0
	for i := range observations {
		if observations[i].Failed {
			failed++
		}
	}
	return failed
}

// errorRate returns the share of failed observations, drawn towards the base
// rate while there are few, and never below it.
func (b *baseline) errorRate(base float64) float64 {
	rate := (float64(b.failed) + base*priorRequests) / (float64(len(b.window)) + priorRequests)
	return min(max(rate, base), maxBaseRate)
}

// maxBaseRate bounds the error rate that the proved version is credited
// with.
const maxBaseRate = 0.7

// limit returns the time above which an observation under a load is slow, and
// whether there are enough observations to tell.
func (b *baseline) limit(kind Kind, load int, factor float64) (time.Duration, bool) {
	if len(b.window) < baselineMinimum {
		return 0, false
	}
	if b.added >= limitRefresh || b.limits[0][kind] == 0 {
		b.added = 0
		for least := range LoadClasses {
			b.limits[least][KindFirstToken] = b.quantile(least, func(o *Observation) time.Duration { return o.FirstToken })
			b.limits[least][KindBetweenTokens] = b.quantile(least, func(o *Observation) time.Duration { return o.BetweenTokens })
		}
	}
	found := b.limits[load][kind]
	return time.Duration(factor * float64(found)), found > 0
}

// quantile returns the slow quantile of the times that are known from
// observations under at least the load, zero if there are too few.
func (b *baseline) quantile(least int, of func(*Observation) time.Duration) time.Duration {
	times := make([]time.Duration, 0, len(b.window))
	for i := range b.window {
		if took := of(&b.window[i].Observation); took > 0 && b.window[i].Load >= least {
			times = append(times, took)
		}
	}
	if len(times) < baselineMinimum {
		return 0
	}
	slices.Sort(times)
	return times[int(slowQuantile*float64(len(times)-1))]
}
