package backoff

import "testing"

func TestDelayDoublesUpToLimit(t *testing.T) {
	for _, c := range []struct {
		failures int
		limitMS  int64
	}{{1, 200}, {2, 400}, {5, 3200}, {6, 5000}, {1_000_000, 5000}} {
		low, high := Delay(c.failures, MaxDelay, 0).Milliseconds(), Delay(c.failures, MaxDelay, 0.999).Milliseconds()
		if low != c.limitMS/2 || high <= low || high > c.limitMS {
			t.Errorf("after %d failures: %d to %d ms, want the upper half of %d ms", c.failures, low, high, c.limitMS)
		}
	}
}
