package canary

import (
	"math/rand/v2"
	"testing"
	"time"
)

const stepTime = 100 * time.Millisecond

// runUntilVerdict feeds both versions until the verdict or the limit. It returns
// how many requests the candidate had, and whether it was found bad.
func runUntilVerdict(random *rand.Rand, limit int, baseline, candidate func(i int) Observation) (int, bool) {
	m := New(DefaultSettings())
	now := time.Unix(0, 0)
	for i := range limit {
		now = now.Add(stepTime)
		for range 4 {
			m.ObserveBaseline(now, "r", baseline(i))
		}
		m.ObserveCandidate(now, "r", candidate(i))
		if _, _, bad := m.Bad(); bad {
			return i + 1, true
		}
	}
	return limit, false
}

func withErrorRate(random *rand.Rand, rate float64) func(int) Observation {
	return func(int) Observation {
		return Observation{Failed: random.Float64() < rate,
			FirstToken:    time.Duration((50 + 50*random.Float64()) * float64(time.Millisecond)),
			BetweenTokens: time.Duration((20 + 5*random.Float64()) * float64(time.Millisecond))}
	}
}

func slower(observe func(int) Observation, factor float64) func(int) Observation {
	return func(i int) Observation {
		o := observe(i)
		o.FirstToken = time.Duration(float64(o.FirstToken) * factor)
		o.BetweenTokens = time.Duration(float64(o.BetweenTokens) * factor)
		return o
	}
}

func TestVerdictsAndRequestsNeeded(t *testing.T) {
	const trials = 200
	cases := []struct {
		name      string
		limit     int
		candidate func(*rand.Rand) func(int) Observation
		wantBad   bool
		// within is the largest allowed mean number of requests to the verdict.
		within float64
	}{
		{"good", 1000, func(r *rand.Rand) func(int) Observation { return withErrorRate(r, 0.002) }, false, 0},
		{"always failing", 100, func(r *rand.Rand) func(int) Observation { return withErrorRate(r, 1) }, true, 6},
		{"failing three in ten", 400, func(r *rand.Rand) func(int) Observation { return withErrorRate(r, 0.3) }, true, 60},
		{"three times slower", 400, func(r *rand.Rand) func(int) Observation { return slower(withErrorRate(r, 0.002), 3) }, true, 40},
		{"fails after 200 requests", 400, func(r *rand.Rand) func(int) Observation {
			good, bad := withErrorRate(r, 0.002), withErrorRate(r, 0.5)
			return func(i int) Observation {
				if i < 200 {
					return good(i)
				}
				return bad(i)
			}
		}, true, 240},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			judgedBad, total := 0, 0
			for seed := range trials {
				random := rand.New(rand.NewPCG(uint64(seed), 1))
				n, bad := runUntilVerdict(random, c.limit, withErrorRate(random, 0.002), c.candidate(random))
				total += n
				if bad {
					judgedBad++
				}
			}
			mean := float64(total) / trials
			t.Logf("judged bad %d of %d, mean %.1f requests", judgedBad, trials, mean)
			if c.wantBad && (judgedBad != trials || mean > c.within) {
				t.Errorf("want all judged bad within a mean of %.0f requests", c.within)
			}
			if !c.wantBad && judgedBad != 0 {
				t.Errorf("a good version was judged bad")
			}
		})
	}
}

// Checks that a fault of both versions, such as the loss of an availability zone,
// does not make a good version bad.
func TestFaultOfBothVersionsIsNotBlamedOnTheCandidate(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	if n, bad := runUntilVerdict(random, 1000, withErrorRate(random, 0.4), withErrorRate(random, 0.4)); bad {
		t.Fatalf("judged bad after %d requests", n)
	}
}

func TestFaultOnOneRouteOnly(t *testing.T) {
	m := New(DefaultSettings())
	now := time.Unix(0, 0)
	for range 20 {
		m.ObserveCandidate(now, "good", Observation{})
		m.ObserveCandidate(now, "wrong", Observation{Failed: true})
	}
	if route, reason, bad := m.Bad(); !bad || route != "wrong" {
		t.Fatalf("got route %q, reason %q, bad %v; want the failing route", route, reason, bad)
	}
}

func TestProvedNeedsEnoughRequests(t *testing.T) {
	m := New(DefaultSettings())
	now := time.Unix(0, 0)
	needed := 0
	for !m.Proved("r", now) && needed < 1000 {
		m.ObserveCandidate(now, "r", Observation{})
		needed++
	}
	if needed < 10 || needed > 60 {
		t.Fatalf("proved after %d good requests", needed)
	}
}

// Checks that failures spread over routes are summed up. Without the sum over all
// routes, the verdict needed five failures on a single route.
func TestFaultSpreadOverRoutes(t *testing.T) {
	m := New(DefaultSettings())
	now := time.Unix(0, 0)
	for i := range 5 {
		m.ObserveCandidate(now, string(rune('a'+i)), Observation{Failed: true})
	}
	if route, reason, bad := m.Bad(); !bad || route != AllRoutes {
		t.Fatalf("got route %q, reason %q, bad %v; want all routes", route, reason, bad)
	}
}

// Checks that pauses of the host that runs both versions, which make one request
// in four slow on either, are not blamed on the candidate. The route has few
// requests, so its own limit adapts late; a few runs in a thousand may still be
// judged wrongly.
func TestHostPausesAreNotBlamedOnTheCandidate(t *testing.T) {
	const steadySteps, steps = 60, 120
	judgedBad := 0
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 2))
		steady := withErrorRate(random, 0)
		observe := func(i int) Observation {
			o := steady(i)
			if i > steadySteps && random.Float64() < 0.25 {
				o.FirstToken *= 4
			}
			return o
		}
		m, now := New(DefaultSettings()), time.Unix(0, 0)
		for i := range steps {
			now = now.Add(300 * time.Millisecond)
			m.ObserveBaseline(now, "rare", observe(i))
			for range 5 {
				m.ObserveBaseline(now, "often", observe(i))
			}
			m.ObserveCandidate(now, "rare", observe(i))
		}
		if _, _, bad := m.Bad(); bad {
			judgedBad++
		}
	}
	t.Logf("judged bad in %d of 200 runs", judgedBad)
	if judgedBad > 2 {
		t.Errorf("want at most 2")
	}
}
