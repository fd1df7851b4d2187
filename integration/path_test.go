// Package integration tests the complete system with real processes that run
// against stand-ins.
package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Sends streamed model requests and ledger calls through each of three entry
// hosts and checks every byte of the streams. Then one host drains under traffic
// and must not truncate any response.
func TestRequestsThroughThreeHosts(t *testing.T) {
	c := startCluster(t, options{})
	for i, h := range c.hosts {
		prompt := fmt.Sprintf("dossier %d", i)
		expectText(t, c.send(t.Context(), h, completion(summaryModel, prompt, 40, "")), prompt, 40)
		expectText(t, c.send(t.Context(), h, completion(draftModel, prompt, 40, newKey())), prompt, 40)
		if result := c.send(t.Context(), h, postEntry(newKey())); result.status != http.StatusCreated || !result.complete {
			t.Errorf("ledger entry: %+v", result)
		}
		if result := c.send(t.Context(), h, getPath("/v1/balances/member-1")); result.status != http.StatusOK || !result.complete {
			t.Errorf("ledger read: %+v", result)
		}
	}
	drainUnderTraffic(t, c)
}

// drainUnderTraffic sends requests to a host and drains its processes while the
// requests run. Every response must be complete.
func drainUnderTraffic(t *testing.T, c *cluster) {
	t.Helper()
	const requests, length = 12, 120
	var running sync.WaitGroup
	for i := range requests {
		running.Go(func() {
			prompt := fmt.Sprintf("during the drain %d", i)
			expectText(t, c.send(t.Context(), c.hosts[0], completion(summaryModel, prompt, length, "")), prompt, length)
		})
	}
	time.Sleep(300 * time.Millisecond)
	c.hosts[0].entry.drain(20 * time.Second)
	c.hosts[0].scheduler.drain(20 * time.Second)
	c.hosts[0].rollout.drain(20 * time.Second)
	running.Wait()
	prompt := "after the drain"
	expectText(t, c.send(t.Context(), c.hosts[1], completion(summaryModel, prompt, 10, "")), prompt, 10)
}
