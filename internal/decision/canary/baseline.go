package canary

import (
	"slices"
	"time"
)

const (
	// maxBaselineObservations bounds how many observations of the proved version
	// are kept for a route.
	maxBaselineObservations = 512
	// minBaselineObservations is how many are needed before times are compared.
	minBaselineObservations = 20
	// slowQuantile is the quantile that times are compared with.
	slowQuantile = 0.95
	// errorPriorWeight is the weight of the base rate in the error rate.
	errorPriorWeight = 20
	// limitRefreshInterval is how many new observations make the limits be computed
	// again; sorting the window for each would dominate the cost.
	limitRefreshInterval = 32
)

// timedObservation is an observation with its time.
type timedObservation struct {
	at time.Time
	Observation
}

// baseline is the newest observations of the proved version on a route.
type baseline struct {
	window []timedObservation
	// failed counts the failed observations in the window.
	failed int
	// addedSinceRefresh counts observations since the limits were computed.
	addedSinceRefresh int
	// slowLimits is the slow quantile by the least load that counts.
	slowLimits [LoadClasses][kindCount]time.Duration
}

func (b *baseline) add(now time.Time, o Observation) {
	if len(b.window) == maxBaselineObservations {
		b.drop(1)
	}
	b.window = append(b.window, timedObservation{now, o})
	b.failed += countFailed(b.window[len(b.window)-1:])
	b.addedSinceRefresh++
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

func countFailed(observations []timedObservation) int {
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
	rate := (float64(b.failed) + base*errorPriorWeight) / (float64(len(b.window)) + errorPriorWeight)
	return min(max(rate, base), maxBaseErrorRate)
}

// maxBaseErrorRate bounds the error rate that the proved version is credited
// with.
const maxBaseErrorRate = 0.7

// slowLimit returns the time above which an observation under a load is slow, and
// whether there are enough observations to tell.
func (b *baseline) slowLimit(kind Kind, load int, factor float64) (time.Duration, bool) {
	if len(b.window) < minBaselineObservations {
		return 0, false
	}
	if b.addedSinceRefresh >= limitRefreshInterval || b.slowLimits[0][kind] == 0 {
		b.addedSinceRefresh = 0
		for least := range LoadClasses {
			b.slowLimits[least][KindFirstToken] = b.slowQuantileAt(least, func(o *Observation) time.Duration { return o.FirstToken })
			b.slowLimits[least][KindBetweenTokens] = b.slowQuantileAt(least, func(o *Observation) time.Duration { return o.BetweenTokens })
		}
	}
	found := b.slowLimits[load][kind]
	return time.Duration(factor * float64(found)), found > 0
}

// slowQuantileAt returns the slow slowQuantileAt of the times that are known from
// observations under at least the load, zero if there are too few.
func (b *baseline) slowQuantileAt(least int, of func(*Observation) time.Duration) time.Duration {
	times := make([]time.Duration, 0, len(b.window))
	for i := range b.window {
		if took := of(&b.window[i].Observation); took > 0 && b.window[i].Load >= least {
			times = append(times, took)
		}
	}
	if len(times) < minBaselineObservations {
		return 0
	}
	slices.Sort(times)
	return times[int(slowQuantile*float64(len(times)-1))]
}
