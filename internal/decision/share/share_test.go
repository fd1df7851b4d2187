package share

import (
	"testing"

	"pgregory.net/rapid"

	"kingcupcourse/internal/core"
)

// Checks that a version never has more than its share of the latest dispatches,
// nor more than its share of the attempts in progress unless it has just one.
func TestVersionStaysWithinItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0, 0.9).Draw(t, "limit")
		recent := NewDispatchWindow()
		running := map[core.Version]int{}
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			total := running["old"] + running["new"]
			if total > 0 && rapid.Bool().Draw(t, "end") {
				v := rapid.SampledFrom([]core.Version{"old", "new"}).Draw(t, "ended")
				running[v] = max(0, running[v]-1)
				continue
			}
			if !Allows(limit, recent.Traffic("new"), Traffic{Version: running["new"], Total: total}) {
				recent.Add("old")
				running["old"]++
				continue
			}
			recent.Add("new")
			running["new"]++
			got := recent.Traffic("new")
			if float64(got.Version) > limit*float64(got.Total)+1e-9 && got.Total < windowSize {
				t.Fatalf("%d of %d dispatches at limit %.3f", got.Version, got.Total, limit)
			}
			if float64(got.Version) > limit*float64(windowSize+1) {
				t.Fatalf("%d of the latest %d dispatches at limit %.3f", got.Version, got.Total, limit)
			}
			if n := running["new"]; n > 1 && float64(n) > limit*float64(total+1) {
				t.Fatalf("%d of %d in progress at limit %.3f", n, total+1, limit)
			}
		}
	})
}

func TestLimitsZeroAndOne(t *testing.T) {
	if Allows(0, Traffic{0, 100}, Traffic{0, 100}) || !Allows(1, Traffic{}, Traffic{}) {
		t.Fatal("limit 0 must allow nothing, limit 1 everything")
	}
}
