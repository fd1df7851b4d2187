package integration

import (
	"testing"
	"time"
)

// recoveryTime is the wait for the cluster to recover from a fault before the
// next one.
const recoveryTime = 1500 * time.Millisecond

// Processes are killed and paused while callers send run-once requests. The
// responses must agree with the runs that the endpoints counted.
func TestRunOnceUnderKillsAndPauses(t *testing.T) {
	c := startCluster(t, options{hosts: 4})
	h, stop := c.startRandomTraffic(t, 1, 12)
	time.Sleep(recoveryTime)
	for _, target := range c.hosts[:3] {
		t.Log("kill the entry of", target.name)
		target.entry.kill()
		time.Sleep(recoveryTime)
		target.entry.start()
		t.Log("kill the scheduler of", target.name)
		target.scheduler.kill()
		time.Sleep(recoveryTime)
		target.scheduler.start()
		c.awaitReady(target.entryAdmin)
		c.awaitReady(target.schedulerAdmin)
	}
	for _, target := range c.hosts[:2] {
		t.Log("kill the entry and the scheduler of", target.name)
		target.entry.kill()
		target.scheduler.kill()
		time.Sleep(recoveryTime)
		target.entry.start()
		target.scheduler.start()
		c.awaitReady(target.entryAdmin)
		c.awaitReady(target.schedulerAdmin)
	}
	for _, target := range c.hosts {
		t.Log("pause the scheduler of", target.name)
		target.scheduler.pause()
		time.Sleep(5 * time.Second)
		target.scheduler.resume()
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

// Callers send run-once requests while the platform is down, slow, limits its
// rate of writes, and loses responses to writes, and while two schedulers are
// killed. The responses must agree with the runs that the endpoints counted.
func TestRunOnceUnderPlatformFaults(t *testing.T) {
	c := startCluster(t, options{hosts: 4})
	h, stop := c.startRandomTraffic(t, 2, 12)
	time.Sleep(recoveryTime)
	for range 3 {
		t.Log("lose responses to writes")
		c.setFault("platform", `{"lose_answers": 5}`)
		time.Sleep(recoveryTime)
	}
	t.Log("outage")
	c.setFault("platform", `{"outage": true}`)
	time.Sleep(2 * time.Second)
	t.Log("platform outage, two schedulers killed")
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
	t.Log("platform with a write limit")
	time.Sleep(3 * time.Second)
	c.setFault("platform", `{"writes_per_second": 0}`)
	time.Sleep(recoveryTime)
	stop()
	c.checkHistory(h, accountName)
	expectMostServed(t, h)
}

// expectMostServed fails the test if fewer than half of the operations were
// served, so that a test can't pass because nothing ran.
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
