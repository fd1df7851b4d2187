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
			time.Sleep(restTime)
			owner := c.ownerOfLedgers()
			through := c.hosts[(owner+1)%len(c.hosts)]
			c.hosts[owner].scheduler.kill()
			began := time.Now()
			first := c.send(t.Context(), through, filing(newKey()))
			if !first.whole {
				t.Logf("the first request: status %d, %s", first.status, first.reason)
			}
			s.Add("s until a request is served", float64(hosts), c.untilServed(through, first, began).Seconds())
			for _, h := range c.hosts {
				c.await("death seen by "+h.name, 30*time.Second, func() bool {
					return c.metricsOf(h.entryAdmin)["kingcup_members"] == float64(3*hosts-1)
				})
			}
			s.Add("s until all entries take it for dead", float64(hosts), time.Since(began).Seconds())
		})
	}
	save(t, "recovery", &s)
}

// ownerOfLedgers returns the host whose scheduler grants filings.
func (c *cluster) ownerOfLedgers() int {
	c.t.Helper()
	for range 3 {
		c.send(c.t.Context(), c.hosts[0], filing(newKey()))
	}
	for i, h := range c.hosts {
		if c.metricsOf(h.schedulerAdmin)["kingcup_grants_total"] > 0 {
			return i
		}
	}
	c.t.Fatal("nobody granted a filing")
	return 0
}

// untilServed sends filings until one is served and returns how long that
// took since the beginning.
func (c *cluster) untilServed(through *host, last answer, began time.Time) time.Duration {
	for !last.whole && time.Since(began) < 30*time.Second {
		last = c.send(c.t.Context(), through, filing(newKey()))
	}
	return time.Since(began)
}
