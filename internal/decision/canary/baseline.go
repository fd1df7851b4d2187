package canary

import (
	"slices"
	"time"
)

const (
	// maxBaselineObservations limits the observations of the baseline version
	// that are kept for a route.
	maxBaselineObservations = 512
	// minBaselineObservations is how many are needed to compare times.
	minBaselineObservations = 20
	// slowQuantile is the quantile of the baseline that times are compared
	// with.
	slowQuantile = 0.9
	// errorPriorWeight is the weight of the base rate in the estimated error
	// rate, in observations.
	errorPriorWeight = 20
	// limitRefreshInterval is the number of new observations after which the
	// slow limits are recomputed. Sorting the window for each observation would
	// dominate the cost.
	limitRefreshInterval = 32
)

// timedObservation is an observation and its time.
type timedObservation struct {
	at time.Time
	Observation
}

// baseline holds the latest observations of the baseline version on a route.
type baseline struct {
	window []timedObservation
	// failed counts the failed observations in the window.
	failed int
	// addedSinceRefresh counts the observations since the slow limits were
	// computed.
	addedSinceRefresh int
	// slowLimitByLoad holds the slow quantile by minimum load class.
	slowLimitByLoad [LoadClasses][kindCount]time.Duration
	// typicalBetweenTokens is the median time between tokens.
	typicalBetweenTokens time.Duration
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

// drop removes the oldest n observations. The slice only moves forward; append
// copies it to a new array when it reaches the end of the old one.
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

// errorRate returns the share of failed observations, at least the base rate.
// While there are few observations, it is drawn towards the base rate.
func (b *baseline) errorRate(base float64) float64 {
	rate := (float64(b.failed) + base*errorPriorWeight) / (float64(len(b.window)) + errorPriorWeight)
	return min(max(rate, base), maxBaseErrorRate)
}

// maxBaseErrorRate limits the error rate that the baseline version is assumed to
// have.
const maxBaseErrorRate = 0.7

// slowLimit returns the time above which an observation under a load is slow, and
// whether there are enough observations to tell.
func (b *baseline) slowLimit(kind Kind, load int, factor float64) (time.Duration, bool) {
	if len(b.window) < minBaselineObservations {
		return 0, false
	}
	if b.addedSinceRefresh >= limitRefreshInterval || b.slowLimitByLoad[0][kind] == 0 {
		b.refreshLimits()
	}
	limit := b.slowLimitByLoad[load][kind]
	return time.Duration(factor * float64(limit)), limit > 0
}

// typicalTime returns the median time between tokens, and whether there are enough
// observations to tell.
func (b *baseline) typicalTime() (time.Duration, bool) {
	if len(b.window) >= minBaselineObservations && (b.addedSinceRefresh >= limitRefreshInterval || b.typicalBetweenTokens == 0) {
		b.refreshLimits()
	}
	return b.typicalBetweenTokens, b.typicalBetweenTokens > 0
}

func (b *baseline) refreshLimits() {
	b.addedSinceRefresh = 0
	firstToken := func(o *Observation) time.Duration { return o.FirstToken }
	betweenTokens := func(o *Observation) time.Duration { return o.BetweenTokens }
	for minLoad := range LoadClasses {
		b.slowLimitByLoad[minLoad][KindFirstToken] = b.quantileAt(slowQuantile, minLoad, firstToken)
		b.slowLimitByLoad[minLoad][KindBetweenTokens] = b.quantileAt(slowQuantile, minLoad, betweenTokens)
	}
	b.typicalBetweenTokens = b.quantileAt(typicalQuantile, 0, betweenTokens)
}

// quantileAt returns a quantile of the known times under at least the given load,
// zero if there are too few.
func (b *baseline) quantileAt(quantile float64, minLoad int, latencyOf func(*Observation) time.Duration) time.Duration {
	times := make([]time.Duration, 0, len(b.window))
	for i := range b.window {
		if took := latencyOf(&b.window[i].Observation); took > 0 && b.window[i].Load >= minLoad {
			times = append(times, took)
		}
	}
	if len(times) < minBaselineObservations {
		return 0
	}
	slices.Sort(times)
	return times[int(quantile*float64(len(times)-1))]
}
