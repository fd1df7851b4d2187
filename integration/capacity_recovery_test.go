//go:build capacity

package integration

import (
	"fmt"
	"testing"
	"time"

	"kingcupcourse/internal/capacity"
)

// Kills the owner of a shard and measures the time until a run-once request is
// served through another host, and until all hosts consider the process dead.
func TestCapacityRecovery(t *testing.T) {
	var s capacity.Series
	for _, hosts := range []int{4, 7, 14, 21} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			c := startCluster(t, options{hosts: hosts})
			time.Sleep(startupSettleTime)
			owner := c.ledgerOwner()
			through := c.hosts[(owner+1)%len(c.hosts)]
			c.hosts[owner].scheduler.kill()
			start := time.Now()
			first := c.send(t.Context(), through, postEntry(newKey()))
			if !first.complete {
				t.Logf("first request after the kill: status %d, %s", first.status, first.reason)
			}
			s.Add("s until a request is served", float64(hosts), c.timeUntilServed(through, first, start).Seconds())
			for _, h := range c.hosts {
				c.await("death detected by "+h.name, 30*time.Second, func() bool {
					return c.readMetrics(h.entryAdmin)["kingcup_members"] == float64(3*hosts-1)
				})
			}
			s.Add("s until all entries take it for dead", float64(hosts), time.Since(start).Seconds())
		})
	}
	saveSeries(t, "recovery", &s)
}

// ledgerOwner returns the index of the host whose scheduler grants ledger
// entries.
func (c *cluster) ledgerOwner() int {
	c.t.Helper()
	for range 3 {
		c.send(c.t.Context(), c.hosts[0], postEntry(newKey()))
	}
	for i, h := range c.hosts {
		if c.readMetrics(h.schedulerAdmin)["kingcup_grants_total"] > 0 {
			return i
		}
	}
	c.t.Fatal("no scheduler has granted a ledger entry")
	return 0
}

// timeUntilServed sends ledger entries until one is served and returns the time
// since start. last is the result of the request sent before.
func (c *cluster) timeUntilServed(through *host, last callResult, start time.Time) time.Duration {
	for !last.complete && time.Since(start) < 30*time.Second {
		last = c.send(c.t.Context(), through, postEntry(newKey()))
	}
	return time.Since(start)
}
