package integration

import (
	"testing"
	"time"
)

// recoveryTime lets the fleet recover from a fault before the next.
const recoveryTime = 1500 * time.Millisecond

// Requests that must run at most once go on while hosts are killed and
// paused. What callers were told is held against what the endpoints counted.
func TestRunOnceUnderKillsAndPauses(t *testing.T) {
	c := startCluster(t, options{hosts: 4})
	h, stop := c.startRandomTraffic(t, 1, 12)
	time.Sleep(recoveryTime)
	for _, hit := range c.hosts[:3] {
		t.Log("kill the entry of", hit.name)
		hit.entry.kill()
		time.Sleep(recoveryTime)
		hit.entry.start()
		t.Log("kill the scheduler of", hit.name)
		hit.scheduler.kill()
		time.Sleep(recoveryTime)
		hit.scheduler.start()
		c.awaitReady(hit.entryAdmin)
		c.awaitReady(hit.schedulerAdmin)
	}
	for _, hit := range c.hosts[:2] {
		t.Log("kill both of", hit.name)
		hit.entry.kill()
		hit.scheduler.kill()
		time.Sleep(recoveryTime)
		hit.entry.start()
		hit.scheduler.start()
		c.awaitReady(hit.entryAdmin)
		c.awaitReady(hit.schedulerAdmin)
	}
	for _, hit := range c.hosts {
		t.Log("pause the scheduler of", hit.name)
		hit.scheduler.pause()
		time.Sleep(5 * time.Second)
		hit.scheduler.resume()
		time.Sleep(recoveryTime)
	}
	t.Log("pause an entry")
	c.hosts[3].entry.pause()
	time.Sleep(4 * time.Second)
	c.hosts[3].entry.resume()
	time.Sleep(recoveryTime)
	stop()
	c.checkHistory(h, accountName)
	expectMostServed(t, h)
}

// The same while the platform is down, slow, and loses answers to writes.
func TestRunOnceUnderPlatformFaults(t *testing.T) {
	c := startCluster(t, options{hosts: 4})
	h, stop := c.startRandomTraffic(t, 2, 12)
	time.Sleep(recoveryTime)
	for range 3 {
		t.Log("lose answers")
		c.setFault("platform", `{"lose_answers": 5}`)
		time.Sleep(recoveryTime)
	}
	t.Log("outage")
	c.setFault("platform", `{"outage": true}`)
	time.Sleep(2 * time.Second)
	t.Log("outage, a scheduler killed")
	c.hosts[0].scheduler.kill()
	c.hosts[1].scheduler.kill()
	time.Sleep(2 * time.Second)
	c.hosts[0].scheduler.start()
	c.hosts[1].scheduler.start()
	time.Sleep(recoveryTime)
	c.setFault("platform", `{"outage": false, "lose_answers": 3}`)
	time.Sleep(4 * time.Second)
	t.Log("slow platform")
	c.setFault("platform", `{"delay_ms": 300}`)
	time.Sleep(3 * time.Second)
	c.setFault("platform", `{"delay_ms": 0, "writes_per_second": 20}`)
	t.Log("limited platform")
	time.Sleep(3 * time.Second)
	c.setFault("platform", `{"writes_per_second": 0}`)
	time.Sleep(recoveryTime)
	stop()
	c.checkHistory(h, accountName)
	expectMostServed(t, h)
}

// expectMostServed guards against a test that passes because nothing ran.
func expectMostServed(t *testing.T, h *history) {
	t.Helper()
	ran := 0
	for i := range h.operations {
		if h.operations[i].outcome() == outcomeRan {
			ran++
		}
	}
	if ran*2 < len(h.operations) {
		t.Errorf("only %d of %d operations were served", ran, len(h.operations))
	}
}
