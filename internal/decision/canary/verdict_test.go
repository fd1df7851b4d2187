package canary

import (
	"math/rand/v2"
	"testing"
	"time"
)

const stepTime = 100 * time.Millisecond

// run feeds both versions until the verdict or the limit and returns how
// many requests the unproved version had, and whether it was judged bad.
func run(random *rand.Rand, limit int, proved, unproved func(i int) Observation) (int, bool) {
	m := New(DefaultSettings())
	now := time.Unix(0, 0)
	for i := range limit {
		now = now.Add(stepTime)
		for range 4 {
			m.ObserveBaseline(now, "r", proved(i))
		}
		m.ObserveCandidate(now, "r", unproved(i))
		if _, _, bad := m.Bad(); bad {
			return i + 1, true
		}
	}
	return limit, false
}

func failing(random *rand.Rand, rate float64) func(int) Observation {
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
		name     string
		limit    int
		unproved func(*rand.Rand) func(int) Observation
		wantBad  bool
		// within is the mean number of requests to the verdict allowed.
		within float64
	}{
		{"good", 1000, func(r *rand.Rand) func(int) Observation { return failing(r, 0.002) }, false, 0},
		{"always failing", 100, func(r *rand.Rand) func(int) Observation { return failing(r, 1) }, true, 6},
		{"failing three in ten", 400, func(r *rand.Rand) func(int) Observation { return failing(r, 0.3) }, true, 60},
		{"three times slower", 400, func(r *rand.Rand) func(int) Observation { return slower(failing(r, 0.002), 3) }, true, 40},
		{"fails after 200 requests", 400, func(r *rand.Rand) func(int) Observation {
			good, bad := failing(r, 0.002), failing(r, 0.5)
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
				n, bad := run(random, c.limit, failing(random, 0.002), c.unproved(random))
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

// A fault that hits both versions, such as a zone that is lost, must not
// take a good version back.
func TestFaultOfBothVersionsIsNotBlamedOnTheCandidate(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	if n, bad := run(random, 1000, failing(random, 0.4), failing(random, 0.4)); bad {
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
		t.Fatalf("got %q %q %v", route, reason, bad)
	}
}

func TestProvedNeedsEnoughRequests(t *testing.T) {
	m := New(DefaultSettings())
	now := time.Unix(0, 0)
	needed := 0
	for !m.Proved("r") && needed < 1000 {
		m.ObserveCandidate(now, "r", Observation{})
		needed++
	}
	if needed < 10 || needed > 60 {
		t.Fatalf("proved after %d good requests", needed)
	}
}

// Without the sum over all routes this needed five failures on one of them.
func TestFaultSpreadOverRoutes(t *testing.T) {
	m := New(DefaultSettings())
	now := time.Unix(0, 0)
	for i := range 5 {
		m.ObserveCandidate(now, string(rune('a'+i)), Observation{Failed: true})
	}
	if route, reason, bad := m.Bad(); !bad || route != AllRoutes {
		t.Fatalf("got %q %q %v", route, reason, bad)
	}
}

// While the host of both versions has pauses, one request in four is slow on
// either, and neither is to blame. The route has few requests, so that its own
// limit follows late. A few runs in a thousand may still go wrong.
func TestHostPausesAreNotBlamedOnTheCandidate(t *testing.T) {
	const quietSteps, steps = 60, 120
	judgedBad := 0
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 2))
		quiet := failing(random, 0)
		observe := func(i int) Observation {
			o := quiet(i)
			if i > quietSteps && random.Float64() < 0.25 {
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
