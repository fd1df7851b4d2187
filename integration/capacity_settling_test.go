//go:build capacity

package integration

import (
	"testing"
	"time"

	"kingcupcourse/internal/capacity"
)

// Starts 168 processes together on one machine and measures whether the gossip
// traffic of their start subsides. x is seconds since all were ready.
func TestCapacitySettling(t *testing.T) {
	const hosts, steps, step = 56, 8, 10 * time.Second
	var s capacity.Series
	c := startCluster(t, options{hosts: hosts})
	start := time.Now()
	for range steps {
		m := c.measure(sleepFor(step))
		x := time.Since(start).Seconds()
		m.addHostUsage(&s, x)
		m.addPlatformRates(&s, x)
	}
	saveSeries(t, "settling", &s)
}
