//go:build capacity

package integration

import (
	"fmt"
	"testing"
	"time"

	"kingcupcourse/internal/capacity"
)

// An owner that is killed: how long until a run-once request is served again
// through another host, and until all hosts take the process for dead.
func TestCapacityRecovery(t *testing.T) {
	var s capacity.Series
	for _, hosts := range []int{4, 7, 14, 21} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			c := startCluster(t, options{hosts: hosts})
			time.Sleep(startupSettleTime)
			owner := c.ledgerOwner()
			through := c.hosts[(owner+1)%len(c.hosts)]
			c.hosts[owner].scheduler.kill()
			began := time.Now()
			first := c.send(t.Context(), through, postEntry(newKey()))
			if !first.complete {
				t.Logf("the first request: status %d, %s", first.status, first.reason)
			}
			s.Add("s until a request is served", float64(hosts), c.timeUntilServed(through, first, began).Seconds())
			for _, h := range c.hosts {
				c.await("death seen by "+h.name, 30*time.Second, func() bool {
					return c.readMetrics(h.entryAdmin)["kingcup_members"] == float64(3*hosts-1)
				})
			}
			s.Add("s until all entries take it for dead", float64(hosts), time.Since(began).Seconds())
		})
	}
	saveSeries(t, "recovery", &s)
}

// ledgerOwner returns the host whose scheduler grants filings.
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
	c.t.Fatal("nobody granted a filing")
	return 0
}

// timeUntilServed sends filings until one is served and returns how long that
// took since the beginning.
func (c *cluster) timeUntilServed(through *host, last callResult, began time.Time) time.Duration {
	for !last.complete && time.Since(began) < 30*time.Second {
		last = c.send(c.t.Context(), through, postEntry(newKey()))
	}
	return time.Since(began)
}
