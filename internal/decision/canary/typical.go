package canary

import (
	"fmt"
	"math"
	"time"
)

const (
	// typicalQuantile and typicalFactor give the time between tokens above which an
	// observation counts as long.
	typicalQuantile, typicalFactor = 0.5, 1.5
	// longRateIncrease is the increase in the share of endpoints with long times that
	// makes a version bad.
	longRateIncrease = 0.4
	// likeFactor is how much slower than the baseline a version may be at the most and
	// count as no slower.
	likeFactor = 1.05
	// longFalseAlarmRate limits the rate of false alarms per endpoint.
	longFalseAlarmRate = 1e-5
	// longPriorWeight is the weight of an even chance in the share of the baseline's
	// endpoints, in endpoints.
	longPriorWeight = 4
)

// typicalTimes compares the typical times between tokens of two versions. Endpoints
// may differ in speed several times over. The slow ones determine the baseline's slow
// limit, which a slow version on fast endpoints does not exceed; but it is long for
// the baseline's median on nearly all of its endpoints. Each endpoint of the
// candidate counts once, because its observations depend on its speed.
type typicalTimes struct {
	baseline  map[string]*longShare // by endpoint
	candidate map[string]bool       // endpoints that have counted
	long      int                   // of the candidate's
	cusum     float64
	// logRatio is the log likelihood ratio of the candidate's endpoints.
	logRatio float64
}

// longShare counts the times of an endpoint that would be long on a version that is
// slower by likeFactor.
type longShare struct{ long, times int }

func newTypicalTimes() *typicalTimes {
	return &typicalTimes{baseline: map[string]*longShare{}, candidate: map[string]bool{}}
}

// longRate returns the chance that a time of a version that counts as no slower than the
// baseline is long, on an endpoint chosen at random.
func (t *typicalTimes) longRate() float64 {
	sum := 0.0
	for _, share := range t.baseline {
		sum += float64(share.long) / float64(share.times)
	}
	return (sum + longPriorWeight/2) / float64(len(t.baseline)+longPriorWeight)
}

func (t *typicalTimes) observeBaseline(endpoint string, long bool) {
	share := t.baseline[endpoint]
	if share == nil {
		share = &longShare{}
		t.baseline[endpoint] = share
	}
	share.times++
	if long {
		share.long++
	}
}

func (t *typicalTimes) observeCandidate(endpoint string, long bool) {
	if t.candidate[endpoint] {
		return
	}
	t.candidate[endpoint] = true
	if long {
		t.long++
	}
	ratio := logRatio(long, t.longRate(), longRateIncrease)
	t.cusum = max(0, t.cusum+ratio)
	t.logRatio += ratio
}

func (t *typicalTimes) alarmReason() (reason string, bad bool) {
	return fmt.Sprintf("%s: long on %d of %d endpoints", KindBetweenTokens, t.long, len(t.candidate)),
		t.cusum >= -math.Log(longFalseAlarmRate)
}

// isLong reports whether a time is long for the route's baseline, if that is known.
func (m *Monitor) isLong(r *route, took time.Duration) (long, ok bool) {
	if took == 0 {
		return false, false
	}
	typical, ok := r.baseline.typicalTime()
	return took > time.Duration(typicalFactor*float64(typical))+m.settings.SlowSlack, ok
}

func (m *Monitor) observeTypical(r *route, o Observation, isCandidate bool) {
	took := o.BetweenTokens
	if !isCandidate {
		took = time.Duration(likeFactor * float64(took))
	}
	long, ok := m.isLong(r, took)
	switch {
	case !ok || o.Endpoint == "" || m.ramping:
	case isCandidate:
		m.typical.observeCandidate(o.Endpoint, long)
	default:
		m.typical.observeBaseline(o.Endpoint, long)
	}
}
