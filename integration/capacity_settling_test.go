//go:build capacity

package integration

import (
	"testing"
	"time"

	"kingcupcourse/internal/capacity"
)

// 168 processes that start together on one machine: whether the gossip of
// their start comes to rest. x is seconds since all were ready.
func TestCapacitySettling(t *testing.T) {
	const hosts, steps, step = 56, 8, 10 * time.Second
	var s capacity.Series
	c := startCluster(t, options{hosts: hosts})
	began := time.Now()
	for range steps {
		w := c.measure(sleepFor(step))
		x := time.Since(began).Seconds()
		w.addHostUsage(&s, x)
		w.addPlatformRates(&s, x)
	}
	saveSeries(t, "settling", &s)
}
