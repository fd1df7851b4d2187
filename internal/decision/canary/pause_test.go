package canary

import (
	"math/rand/v2"
	"testing"
	"time"
)

// countedSlow returns how many of the requests that were in progress in a pause count.
// The filter is told of a fast one first.
func countedSlow(batched bool, fast period, slow int) int {
	start := time.Unix(1000, 0)
	f, counted := pauseFilter{interval: 250 * time.Millisecond}, 0
	f.counts(false, batched, fast)
	for range slow {
		if f.counts(true, batched, period{start, start.Add(100 * time.Millisecond)}) {
			counted++
		}
	}
	return counted
}

func TestPauseCountsOnce(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	for _, tt := range []struct {
		name    string
		batched bool
		fast    period
		want    int
	}{
		{"no fast request", false, period{}, 1},
		{"fast request before the pause", false, period{at(-10), at(5)}, 1},
		{"fast request after the pause", false, period{at(90), at(110)}, 1},
		{"fast request all the while", false, period{at(10), at(30)}, 2},
		{"fast request all the while, in batches", true, period{at(10), at(30)}, 1},
	} {
		if got := countedSlow(tt.batched, tt.fast, 5); got != tt.want {
			t.Errorf("%s: %d of 5 slow requests count, want %d", tt.name, got, tt.want)
		}
	}
}

// A version of a busy service that is as fast is not found slow.
func TestGoodVersionOfBusyServiceIsNotFoundSlow(t *testing.T) {
	for seed := range uint64(200) {
		if bad, _ := observeService(rand.New(rand.NewPCG(seed, 7)), 20*time.Second, 0.5, 0); bad != 0 {
			t.Errorf("seed %d: found slow after %d requests", seed, bad)
		}
	}
}
