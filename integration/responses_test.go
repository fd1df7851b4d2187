package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Cuts streams partway and makes open connections permanently silent while new
// ones work. Every caller must still receive every byte of its own response
// exactly once.
func TestCompleteResponsesDespiteCutStreamsAndSilentConnections(t *testing.T) {
	c := startCluster(t, options{engines: 3, ledgers: 2})
	const streams, length = 24, 150
	var running sync.WaitGroup
	for i := range streams {
		model, key := summaryModel, ""
		if i%2 == 0 {
			model, key = draftModel, newKey()
		}
		running.Go(func() {
			prompt := fmt.Sprintf("stream %d", i)
			k := completion(model, prompt, length, key)
			k.deadline = 30 * time.Second
			expectText(t, c.send(t.Context(), c.hosts[i%len(c.hosts)], k), prompt, length)
		})
	}
	time.Sleep(400 * time.Millisecond)
	for _, e := range c.fleet.Engines {
		c.setFault(e.Name, `{"cut_streams": 4}`)
	}
	time.Sleep(300 * time.Millisecond)
	for _, name := range c.endpoints() {
		c.setFault(name, `{"silent_connections": true}`)
	}
	running.Wait()
	for i, h := range c.hosts {
		if result := c.send(t.Context(), h, getPath(fmt.Sprintf("/v1/balances/member-%d", i))); result.status != http.StatusOK || !result.complete {
			t.Errorf("read after the connections went silent: %+v", result)
		}
	}
}

// Responses that arrive late and out of order must reach the requests they
// belong to.
func TestOutOfOrderResponses(t *testing.T) {
	c := startCluster(t, options{engines: 3})
	c.setFault(c.fleet.Engines[0].Name, `{"slow_factor": 4}`)
	var running sync.WaitGroup
	for i := range 40 {
		running.Go(func() {
			prompt, length := fmt.Sprintf("request %d", i), 5+(i*37)%60
			expectText(t, c.send(t.Context(), c.hosts[i%len(c.hosts)], completion(summaryModel, prompt, length, "")), prompt, length)
		})
	}
	running.Wait()
}
