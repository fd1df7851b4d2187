package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// drainPropagationLimit is how long an endpoint that has begun to drain may
// still receive new requests.
const drainPropagationLimit = 3 * time.Second

// sendOrder sends an order to an endpoint.
func (c *cluster) sendOrder(address, order string) {
	c.t.Helper()
	response, err := c.client.Post("http://"+address+"/v1/orders", "application/json", bytes.NewBufferString(order))
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		c.t.Fatalf("order %s: %s", order, response.Status)
	}
}

// listAsDraining sets the state of an endpoint to "leaving" in the platform's
// list of hosts.
func (c *cluster) listAsDraining(endpoint string) {
	c.t.Helper()
	body := fmt.Sprintf(`{"hosts":[],"endpoints":[{"name":%q,"state":"leaving"}]}`, endpoint)
	request, err := http.NewRequest(http.MethodPut, c.platformURL+"/v1/objects/hosts?if_version=0", bytes.NewBufferString(body))
	if err != nil {
		c.t.Fatal(err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		c.t.Fatal(err)
	}
	_ = response.Body.Close()
}

// An endpoint drains while the platform is down and still lists it as live. It
// must stop receiving new requests within the limit, and requests that run on
// it must finish.
func TestDrainingEndpointDuringPlatformOutage(t *testing.T) {
	c := startCluster(t, options{engines: 3})
	h, stop := c.startRandomTraffic(t, 3, 10)
	time.Sleep(recoveryTime)
	c.setFault("platform", `{"outage": true}`)
	drainStart := time.Now()
	c.sendOrder(c.fleet.Engines[0].Address, `{"order":"leave","version":"v1","fence":1}`)
	time.Sleep(2 * drainPropagationLimit)
	c.setFault("platform", `{"outage": false}`)
	time.Sleep(recoveryTime)
	stop()
	c.expectNoPlacementAfter(c.fleet.Engines[0].Name, drainStart)
	c.checkHistory(h, accountName)
	expectNoneTruncated(t, h)
}

// An endpoint drains only according to the platform's list. It must stop
// receiving new requests within the limit, and requests that run on it must
// finish.
func TestEndpointListedAsDraining(t *testing.T) {
	c := startCluster(t, options{engines: 3})
	h, stop := c.startRandomTraffic(t, 4, 10)
	time.Sleep(recoveryTime)
	draining := c.busiestEngine()
	drainStart := time.Now()
	c.listAsDraining(draining)
	time.Sleep(2 * drainPropagationLimit)
	stop()
	c.expectNoPlacementAfter(draining, drainStart)
	c.checkHistory(h, accountName)
	expectNoneTruncated(t, h)
}

// busiestEngine returns the engine with the most requests so far. On a busy
// machine an engine may receive hardly any during the test, so an engine chosen
// in advance might have none.
func (c *cluster) busiestEngine() string {
	c.t.Helper()
	work, busiest := c.summarizePlacements(), c.fleet.Engines[0].Name
	for i := range c.fleet.Engines {
		if name := c.fleet.Engines[i].Name; work[name].count > work[busiest].count {
			busiest = name
		}
	}
	return busiest
}

func (c *cluster) expectNoPlacementAfter(endpoint string, drainStart time.Time) {
	c.t.Helper()
	last := c.lastPlacement(endpoint).Sub(drainStart)
	c.t.Logf("last placement on %s %v after it began to drain", endpoint, last)
	if last > drainPropagationLimit {
		c.t.Errorf("%s received a new request %v after it began to drain", endpoint, last)
	}
	if last < -time.Second {
		c.t.Errorf("%s had no requests just before it began to drain; the test proves nothing", endpoint)
		for name, work := range c.summarizePlacements() {
			c.t.Logf("%s: %d placements among %.1f candidates on average, from %v to %v after the drain began", name, work.count,
				float64(work.candidates)/float64(work.count),
				work.first.Sub(drainStart), work.last.Sub(drainStart))
		}
	}
}

// expectNoneTruncated fails the test if a response is incomplete without being a
// refusal.
func expectNoneTruncated(t *testing.T, h *history) {
	t.Helper()
	for i := range h.operations {
		result := &h.operations[i].result
		if !result.complete && result.disposition == "" {
			text, _ := json.Marshal(result.body)
			t.Errorf("truncated response: status %d, %v, %s", result.status, result.err, text)
		}
	}
}
