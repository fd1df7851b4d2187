package integration

import (
	"fmt"
	"testing"
	"time"

	"kingcupcourse/internal/core"
)

const (
	poisonPrompt = "crash-me"
	// maxPoisonCrashes is how many endpoints one poison request may crash.
	maxPoisonCrashes = 2
)

// A request that crashes every endpoint it runs on is sent repeatedly through
// all hosts. It must be refused after two crashes, and other requests must still
// be served.
func TestPoisonRequest(t *testing.T) {
	c := startCluster(t, options{engines: 5})
	for _, e := range c.fleet.Engines {
		c.setFault(e.Name, fmt.Sprintf(`{"crash_on": %q}`, poisonPrompt))
	}
	h, stop := c.startRandomTraffic(t, 5, 6)
	poison := completion(summaryModel, "[tokens=20] "+poisonPrompt, 20, "")
	poison.deadline = 8 * time.Second
	var last callResult
	for i := range 8 {
		last = c.send(t.Context(), c.hosts[i%len(c.hosts)], poison)
		t.Logf("call %d: status %d %s %s", i, last.status, last.disposition, last.reason)
	}
	time.Sleep(recoveryTime)
	stop()
	crashes := 0
	for _, e := range c.fleet.Engines {
		crashes += c.stats(e.Name).Crashes
	}
	t.Logf("one poison request caused %d crashes", crashes)
	if crashes > maxPoisonCrashes {
		t.Errorf("one poison request crashed %d endpoints", crashes)
	}
	if last.disposition != core.NotRun || last.reason != core.ReasonPoison {
		t.Errorf("the last call has disposition and reason %s %s, want not_run poison", last.disposition, last.reason)
	}
	c.checkHistory(h, accountName)
	for i := range h.operations {
		if h.operations[i].result.reason == core.ReasonPoison {
			t.Errorf("a harmless request was refused as poison")
		}
	}
	prompt := "after the poison"
	expectText(t, c.send(t.Context(), c.hosts[0], completion(summaryModel, prompt, 10, "")), prompt, 10)
}
