package canary

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// timeOn returns a time between two tokens on an endpoint of a fleet whose endpoints
// differ in speed.
func timeOn(endpoint int, random *rand.Rand) time.Duration {
	speeds := []float64{0.55, 1, 2.8}
	return time.Duration(20 * float64(time.Millisecond) / speeds[endpoint%len(speeds)] * (1 + random.ExpFloat64()/3))
}

// observeFleet observes requests to a fleet whose endpoints differ in speed. The
// candidate gets one request of ten, and the outcomes arrive in batches. It returns
// after how many of them the version was found bad, 0 if it was not.
func observeFleet(random *rand.Rand, endpoints, requests int, slowdown float64) int {
	m := New(DefaultSettings())
	candidates := 0
	for i := range requests {
		at := time.Unix(1000+int64(i/200), 0) // the hosts report once a second
		e := random.IntN(endpoints)
		o := Observation{BetweenTokens: timeOn(e, random)}
		if i%10 != 9 || i < 400 {
			o.Endpoint = fmt.Sprint("old-", e)
			m.ObserveBaseline(at, fmt.Sprint("r", i%3), o)
			continue
		}
		candidates++
		o.BetweenTokens = time.Duration(slowdown * float64(o.BetweenTokens))
		o.Endpoint = fmt.Sprint("new-", e)
		m.ObserveCandidate(at, fmt.Sprint("r", i%3), o)
		if _, _, bad := m.Bad(); bad {
			return candidates
		}
	}
	return 0
}

// Guards against most slow requests not counting in a large fleet: their outcomes
// arrive together, and were taken for one pause.
func TestSlowRequestsOnDifferentEndpointsCountEach(t *testing.T) {
	for seed := range uint64(20) {
		if after := observeFleet(rand.New(rand.NewPCG(seed, 1)), 60, 2400, 4.5); after == 0 || after > 120 {
			t.Errorf("seed %d: found slow after %d requests, want at most 120", seed, after)
		}
	}
}

// Guards against a slow version getting more traffic since it makes no errors. Its
// times are within the range of the baseline, because the endpoints differ in speed
// by as much and those of the baseline are busy.
func TestSlowVersionIsNotProvedByItsErrors(t *testing.T) {
	for seed := range uint64(20) {
		m, random, at := New(DefaultSettings()), rand.New(rand.NewPCG(seed, 3)), time.Unix(1000, 0)
		for i := range 90 {
			for range 9 {
				e := random.IntN(60)
				busy := time.Duration((1 + random.ExpFloat64()) * float64(timeOn(e, random)))
				m.ObserveBaseline(at, "r", Observation{BetweenTokens: busy, Load: 3, Endpoint: fmt.Sprint("old-", e)})
			}
			if i >= 40 {
				e := random.IntN(60)
				m.ObserveCandidate(at, "r", Observation{BetweenTokens: 9 * timeOn(e, random) / 2, Endpoint: fmt.Sprint("new-", e)})
			}
		}
		if _, _, bad := m.Bad(); !bad && m.Proved("r", at) {
			t.Errorf("seed %d: a version 4.5 times slower is proved after 50 requests", seed)
		}
	}
}

// A version that is as fast is proved by as many requests.
func TestVersionOfLikeSpeedIsProved(t *testing.T) {
	for seed := range uint64(20) {
		m, random, at := New(DefaultSettings()), rand.New(rand.NewPCG(seed, 4)), time.Unix(1000, 0)
		for i := range 90 {
			for range 9 {
				e := random.IntN(60)
				m.ObserveBaseline(at, "r", Observation{BetweenTokens: timeOn(e, random), Endpoint: fmt.Sprint("old-", e)})
			}
			if i >= 40 {
				e := random.IntN(60)
				m.ObserveCandidate(at, "r", Observation{BetweenTokens: timeOn(e, random), Endpoint: fmt.Sprint("new-", e)})
			}
		}
		if !m.Proved("r", at) {
			t.Errorf("seed %d: a good version is not proved after 50 requests", seed)
		}
	}
}

func TestVersionOfLikeSpeedIsNotFoundSlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		slowdown := rapid.Float64Range(0.5, 1.3).Draw(t, "slowdown")
		if after := observeFleet(random, rapid.IntRange(9, 90).Draw(t, "endpoints"), 3000, slowdown); after != 0 {
			t.Fatalf("a version %.2f times slower was found bad after %d requests", slowdown, after)
		}
	})
}
