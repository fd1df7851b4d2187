package canary

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// RouteEvidence summarizes the evidence about one route for operators.
type RouteEvidence struct {
	Route             string `json:"route"`
	Requests          int    `json:"requests"`
	Errors            int    `json:"errors"`
	SlowFirstToken    int    `json:"slow_first_token"`
	SlowBetweenTokens int    `json:"slow_between_tokens"`
	// SlowUncounted is the number of slow requests that did not count.
	SlowUncounted int `json:"slow_uncounted"`
	// SlowLimitMS is the time to the first token above which a request of an idle
	// endpoint is slow, zero if it is unknown. SlowBaseRate is the share of slow
	// requests that the candidate is compared with.
	SlowLimitMS      float64 `json:"slow_first_token_limit_ms"`
	SlowBaseRate     float64 `json:"slow_first_token_base_rate"`
	Proved           bool    `json:"proved"`
	BaselineRequests int     `json:"requests_on_proved_version"`
	Alarm            float64 `json:"alarm"` // largest sum as a fraction of the alarm threshold
	// LogRatio is the log likelihood ratio of the candidate's errors, bad
	// against no worse than the baseline. A negative value favors the
	// candidate.
	LogRatio float64 `json:"log_ratio"`
	// SlowLogRatio is the same for its times.
	SlowLogRatio float64 `json:"slow_log_ratio"`
}

// Evidence returns the evidence by route, ordered by name.
func (m *Monitor) Evidence(now time.Time) []RouteEvidence {
	var out []RouteEvidence
	for _, name := range m.routeNames() {
		r := m.routes[name]
		m.expire(r, now)
		limit, _ := r.baseline.slowLimit(KindFirstToken, 0, m.settings.SlowFactor)
		out = append(out, RouteEvidence{Route: name, Requests: r.requests, Errors: r.faults[KindError],
			SlowFirstToken: r.faults[KindFirstToken], SlowBetweenTokens: r.faults[KindBetweenTokens],
			SlowUncounted: r.uncounted, SlowLimitMS: float64(limit.Microseconds()) / 1000,
			SlowBaseRate: m.baselineSlow[KindFirstToken].rate(m.settings.BaseSlowRate),
			Proved:       m.Proved(name, now), BaselineRequests: len(r.baseline.window),
			LogRatio: r.sprt[KindError], SlowLogRatio: r.slowLogRatio(),
			Alarm: min(1, slices.Max(r.cusum[:])/-math.Log(m.settings.FalseAlarmRate))})
	}
	return out
}

func (m *Monitor) routeNames() []string {
	names := make([]string, 0, len(m.routes))
	for name := range m.routes {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare)
	return names
}
