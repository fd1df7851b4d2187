package canary

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// observeService observes a plain service of six endpoints whose requests finish one by
// one, 30 a second in all. The candidate gets the given share of them. It returns after
// how many requests to the candidate the version was found bad, 0 if it was not, and how
// many there were when all routes were proved first, 0 if they were not.
func observeService(random *rand.Rand, duration time.Duration, share, slowShare float64) (bad, proved int) {
	m, at, candidates := New(DefaultSettings()), time.Unix(1000, 0), 0
	for end := at.Add(duration); at.Before(end); at = at.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / 30)) {
		route := fmt.Sprint("r", min(1, random.IntN(4)))
		o := Observation{FirstToken: time.Duration((5 + 10*random.ExpFloat64()) * float64(time.Millisecond)), Endpoint: fmt.Sprint("old-", random.IntN(3))}
		if at.Before(time.Unix(1003, 0)) || random.Float64() >= share {
			m.ObserveBaseline(at, route, o)
			continue
		}
		candidates++
		o.Endpoint = fmt.Sprint("new-", random.IntN(3))
		if random.Float64() < slowShare {
			o.FirstToken *= 6
		}
		m.ObserveCandidate(at, route, o)
		if _, _, found := m.Bad(); found {
			return candidates, proved
		}
		if proved == 0 && !m.HasUnprovedRoute(at) {
			proved = candidates
		}
	}
	return 0, proved
}

// maxExposure is how many requests a bad version may get in a move of 600 requests, of
// which an operator allows a tenth, and 50 more.
const maxExposure = 50 + 600/10

// Guards against most slow requests of a busy route not counting since they were taken
// for one pause, while all fast ones counted for the version.
func TestSlowRequestsOfBusyRouteAreNotTakenForOnePause(t *testing.T) {
	for seed := range uint64(20) {
		if bad, _ := observeService(rand.New(rand.NewPCG(seed, 5)), 20*time.Second, 0.9, 0.5); bad == 0 || bad > maxExposure {
			t.Errorf("seed %d: found slow after %d requests, want at most %d", seed, bad, maxExposure)
		}
	}
}

// Guards against a version that is proved by its errors before any of its times was
// compared: each route had too few requests for a limit yet.
func TestVersionIsNotProvedBeforeItsTimesAreCompared(t *testing.T) {
	m, at := New(DefaultSettings()), time.Unix(1000, 0)
	for i := range 80 {
		at = at.Add(10 * time.Millisecond)
		if i < 2*(minBaselineObservations-1) {
			m.ObserveBaseline(at, fmt.Sprint("r", i%2), Observation{FirstToken: 20 * time.Millisecond})
		}
		m.ObserveCandidate(at, fmt.Sprint("r", i%2), Observation{FirstToken: 100 * time.Millisecond})
	}
	if !m.HasUnprovedRoute(at) {
		t.Error("a version is proved whose times were not compared")
	}
}

// A service with too few requests to compare times proves a version by its errors.
func TestVersionOfRareServiceIsProved(t *testing.T) {
	m, at := New(DefaultSettings()), time.Unix(1000, 0)
	for range 80 {
		at = at.Add(4 * time.Second)
		m.ObserveBaseline(at, "r", Observation{FirstToken: 20 * time.Millisecond})
		m.ObserveCandidate(at, "r", Observation{FirstToken: 20 * time.Millisecond})
	}
	if m.HasUnprovedRoute(at) {
		t.Error("a good version is not proved")
	}
}

// Guards against a slow version that is proved since fast requests came first.
func TestVersionWithSlowRequestsIsNotProved(t *testing.T) {
	const runs, wantProved = 200, 4
	proved := 0
	for seed := range uint64(runs) {
		if _, after := observeService(rand.New(rand.NewPCG(seed, 6)), 20*time.Second, 0.3, 0.5); after > 0 {
			proved++
		}
	}
	t.Logf("proved in %d of %d runs", proved, runs)
	if proved > wantProved {
		t.Errorf("want at most %d", wantProved)
	}
}
