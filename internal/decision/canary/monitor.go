// Package canary compares a candidate version, which is not proved yet, with the
// baseline version that is in use. Both are observed on the same routes in the
// same window. For each route and kind of fault it runs a cumulative sum test
// (CUSUM) of Bernoulli observations. The test needs few requests to detect a
// fault that is there from the start, and it also detects one that comes later.
package canary

import (
	"fmt"
	"math"
	"time"
)

// Kind is a kind of fault that an observation may show.
type Kind int

// Kinds of faults.
const (
	KindError         Kind = iota // failed, lost, cut or malformed response
	KindFirstToken                // first token, or whole response of a plain service, far too late
	KindBetweenTokens             // time between tokens far too long
	kindCount
)

// String returns the kind as used in reasons.
func (k Kind) String() string {
	return [...]string{"errors", "time to first token", "time between tokens"}[k]
}

// Observation is the result of one finished attempt.
type Observation struct {
	Failed bool
	// FirstToken and BetweenTokens are zero if the attempt had none.
	FirstToken, BetweenTokens time.Duration
	// Elapsed is the time from the start of the attempt to its end.
	Elapsed time.Duration
	// Load is the load class of the endpoint, from 0 to LoadClasses-1. Times
	// are compared only with those of the baseline under at least the same
	// load, since a full batch is slower on any version.
	Load int
	// Endpoint is where the attempt ran.
	Endpoint string
	// Batched reports that the endpoint runs requests in batches, so that a request
	// also waits for what others have sent there.
	Batched bool
}

// LoadClasses is the number of load classes.
const LoadClasses = 4

// Settings configures the test. The chance that a good version is found bad by
// one sum within N requests is at most about N times FalseAlarmRate. There is one
// sum for each route and kind, and one for the errors of all routes.
type Settings struct {
	// FalseAlarmRate limits the rate of false alarms per observation.
	FalseAlarmRate float64
	// FalseProofRate is the chance that a version as bad as the alternative
	// hypothesis is accepted as proved.
	FalseProofRate float64
	// BaseErrorRate is the lowest share of failed observations that the
	// baseline version is assumed to have.
	BaseErrorRate float64
	// ErrorRateIncrease is the increase in the share of failed observations
	// that makes a version bad.
	ErrorRateIncrease float64
	// BaseSlowRate and SlowRateIncrease are the same for slow observations. A
	// slow version is usually slow for most requests.
	BaseSlowRate, SlowRateIncrease float64
	// SlowFactor is multiplied by the baseline's 95th percentile to give the
	// limit above which an observation counts as slow.
	SlowFactor float64
	// SlowSlack is added to that limit, so that times close to the noise of
	// the clock are not compared by their ratio alone.
	SlowSlack time.Duration
	// PauseInterval is the time in which slow observations of a route may have one
	// cause: to the first token on all endpoints, and between tokens on one
	// endpoint. A pause of a host or the network delays the first token of all
	// requests in progress, and a pause of an endpoint all tokens of its requests.
	PauseInterval time.Duration
	// BaselineWindow is how long observations of the baseline count.
	BaselineWindow time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{FalseAlarmRate: 1e-6, FalseProofRate: 0.01, BaseErrorRate: 0.01, ErrorRateIncrease: 0.2,
		BaseSlowRate: 0.03, SlowRateIncrease: 0.3, SlowFactor: 1.5, SlowSlack: 5 * time.Millisecond, PauseInterval: 250 * time.Millisecond, BaselineWindow: 30 * time.Second}
}

// Monitor holds the evidence about one candidate version. It is not safe for
// concurrent use.
type Monitor struct {
	settings Settings
	routes   map[string]*route
	// combined counts the errors and slow requests of all routes together, so that
	// a fault that is spread over many routes is detected with no more requests
	// than one on a single route.
	combined route
	// baselineSlow is the current slow rate of the baseline by kind.
	baselineSlow [kindCount]slowRate
	// timedSince is when the first time of the baseline was observed, by kind.
	timedSince [kindCount]time.Time
	// typical compares the endpoints of the versions until the ramp begins. Later
	// the versions' endpoints differ in load.
	typical *typicalTimes
	ramping bool
	// baselineFrozen is set if baseline observations no longer expire.
	baselineFrozen bool
}

// route holds the evidence about one route.
type route struct {
	baseline baseline
	requests int
	cusum    [kindCount]float64
	sprt     [kindCount]float64
	faults   [kindCount]int
	// uncounted is the number of slow observations that did not count, as a pause
	// may have caused them.
	uncounted int
	pauses    map[pauseKey]*pauseFilter
}

// New returns a monitor without evidence.
func New(settings Settings) *Monitor {
	return &Monitor{settings: settings, routes: map[string]*route{}, combined: *newRoute(), typical: newTypicalTimes()}
}

func newRoute() *route { return &route{pauses: map[pauseKey]*pauseFilter{}} }

func (m *Monitor) route(name string) *route {
	r := m.routes[name]
	if r == nil {
		r = newRoute()
		m.routes[name] = r
	}
	return r
}

// ObserveBaseline adds an observation of the baseline version.
func (m *Monitor) ObserveBaseline(now time.Time, routeName string, o Observation) {
	r := m.route(routeName)
	m.recordBaselineTime(now, r, KindFirstToken, o.FirstToken, o.Load)
	m.recordBaselineTime(now, r, KindBetweenTokens, o.BetweenTokens, o.Load)
	r.baseline.add(now, o)
	m.combined.baseline.add(now, o)
	m.observeTypical(r, o, false)
}

// ObserveCandidate adds an observation of the candidate version.
func (m *Monitor) ObserveCandidate(now time.Time, routeName string, o Observation) {
	r := m.route(routeName)
	m.expire(r, now)
	m.expire(&m.combined, now)
	m.updateErrors(r, o)
	m.updateErrors(&m.combined, o)
	if o.Failed {
		return
	}
	started := now.Add(-max(o.Elapsed, o.FirstToken))
	m.updateTimes(r, pauseKey{kind: KindFirstToken}, o.FirstToken, o, period{started, started.Add(o.FirstToken)})
	m.updateTimes(r, pauseKey{KindBetweenTokens, o.Endpoint}, o.BetweenTokens, o, period{started, now})
	m.observeTypical(r, o, true)
}

// StartRamp ends the comparison of typical times.
func (m *Monitor) StartRamp() { m.ramping = true }

// FreezeBaseline keeps the observations of the baseline version for good. It is
// for when the baseline version gets no more traffic and no new ones follow.
func (m *Monitor) FreezeBaseline() { m.baselineFrozen = true }

func (m *Monitor) expire(r *route, now time.Time) {
	if !m.baselineFrozen {
		r.baseline.expire(now.Add(-m.settings.BaselineWindow))
	}
}

func (m *Monitor) updateErrors(r *route, o Observation) {
	r.requests++
	r.update(KindError, o.Failed, r.baseline.errorRate(m.settings.BaseErrorRate), m.settings.ErrorRateIncrease)
}

// updateTimes compares a time of the candidate with the baseline's. The time was
// measured during the given period. Without enough baseline observations it is
// evidence neither way.
func (m *Monitor) updateTimes(r *route, key pauseKey, took time.Duration, o Observation, during period) {
	slow, ok := m.isSlow(r, key.kind, took, o.Load)
	if !ok {
		return
	}
	base := m.baselineSlow[key.kind].rate(m.settings.BaseSlowRate)
	for _, sums := range []*route{r, &m.combined} {
		if sums.pauseFilter(key, m.settings.PauseInterval).counts(slow, o.Batched, during) {
			sums.update(key.kind, slow, base, m.settings.SlowRateIncrease)
		} else {
			sums.uncounted++
		}
	}
}

func (r *route) pauseFilter(key pauseKey, interval time.Duration) *pauseFilter {
	if r.pauses[key] == nil {
		r.pauses[key] = &pauseFilter{interval: interval}
	}
	return r.pauses[key]
}

// recordBaselineTime updates the slow rate with an observation of the baseline.
func (m *Monitor) recordBaselineTime(now time.Time, r *route, kind Kind, took time.Duration, load int) {
	if took > 0 && m.timedSince[kind].IsZero() {
		m.timedSince[kind] = now
	}
	if slow, ok := m.isSlow(r, kind, took, load); ok {
		m.baselineSlow[kind].add(slow)
	}
}

// isSlow compares a time with the baseline's, and reports whether that was
// possible.
func (m *Monitor) isSlow(r *route, kind Kind, took time.Duration, load int) (slow, ok bool) {
	if took == 0 {
		return false, false
	}
	limit, ok := r.baseline.slowLimit(kind, load, m.settings.SlowFactor)
	return took > limit+m.settings.SlowSlack, ok
}

// update adds the log likelihood ratio of one observation: the hypothesis of the
// increased rate against that of the base rate.
func (r *route) update(kind Kind, bad bool, base, increase float64) {
	ratio := logRatio(bad, base, increase)
	if bad {
		r.faults[kind]++
	}
	// The sum restarts at zero, so that a long time without faults does not
	// mask a fault that comes later.
	r.cusum[kind] = max(0, r.cusum[kind]+ratio)
	r.sprt[kind] += ratio
}

// logRatio returns the log likelihood ratio of one observation: the hypothesis of the
// increased rate against that of the base rate.
func logRatio(bad bool, base, increase float64) float64 {
	alternative := min(base+increase, maxAlternativeRate)
	if bad {
		return math.Log(alternative / base)
	}
	return math.Log((1 - alternative) / (1 - base))
}

// maxAlternativeRate limits the rate of the alternative hypothesis.
const maxAlternativeRate = 0.95

// Bad reports whether the version is bad, on which route and why.
func (m *Monitor) Bad() (routeName, reason string, bad bool) {
	for _, name := range m.routeNames() {
		if reason, bad := m.alarmReason(m.routes[name]); bad {
			return name, reason, true
		}
	}
	if reason, bad = m.alarmReason(&m.combined); bad || m.ramping {
		return AllRoutes, reason, bad
	}
	reason, bad = m.typical.alarmReason()
	return AllRoutes, reason, bad
}

// AllRoutes stands for the route name in a verdict on all routes together.
const AllRoutes = "(all)"

func (m *Monitor) alarmReason(r *route) (reason string, bad bool) {
	for kind := range kindCount {
		if r.cusum[kind] >= -math.Log(m.settings.FalseAlarmRate) {
			return fmt.Sprintf("%s: %d of %d requests", kind, r.faults[kind], r.requests), true
		}
	}
	return "", false
}

// HasUnprovedRoute reports whether a route with traffic is not proved yet.
func (m *Monitor) HasUnprovedRoute(now time.Time) bool {
	for name, r := range m.routes {
		m.expire(r, now)
		if len(r.baseline.window) >= MinBaselineRequests && !m.Proved(name, now) {
			return true
		}
	}
	return false
}

// MinBaselineRequests is how many requests the baseline version must have had on
// a route in the window for the route to need a proof. Waiting for a route with
// fewer would delay a move until its deadline.
const MinBaselineRequests = 5

// Proved reports whether the version has been shown to be no worse on the route,
// by a sequential probability ratio test (SPRT) of the errors, to be no slower on all
// routes together, and its times on the route do not speak against it.
func (m *Monitor) Proved(routeName string, now time.Time) bool {
	r := m.routes[routeName]
	return r != nil && r.sprt[KindError] <= math.Log(m.settings.FalseProofRate) && r.slowLogRatio() <= 0 &&
		m.typical.logRatio <= 0 && m.timesProved(KindFirstToken, now) && m.timesProved(KindBetweenTokens, now)
}

// slowLogRatio returns the larger log likelihood ratio of the candidate's times, slow
// against no slower than the baseline.
func (r *route) slowLogRatio() float64 {
	return max(r.sprt[KindFirstToken], r.sprt[KindBetweenTokens])
}

// timesProved reports whether the times of a kind have been shown to be no slower. If
// none was compared in the baseline's window, the service has too few requests, and
// the version is proved by its errors alone.
func (m *Monitor) timesProved(kind Kind, now time.Time) bool {
	since, ratio := m.timedSince[kind], m.combined.sprt[kind]
	incomparable := ratio == 0 && now.Sub(since) > m.settings.BaselineWindow
	return since.IsZero() || incomparable || ratio <= math.Log(falseSlowProofRate)
}

// falseSlowProofRate is the chance that a version as slow as the alternative hypothesis
// is accepted. Its times are still compared while it gets more traffic.
const falseSlowProofRate = 0.05
