package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// drainPropagationLimit is how long an endpoint that has begun to leave may still get
// new work.
const drainPropagationLimit = 3 * time.Second

// sendOrder gives an endpoint an sendOrder.
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

// listAsDraining makes the platform's list name an endpoint as leaving.
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

// An endpoint that leaves while the platform is down and its list still names
// it live gets no new work for long, and what runs on it is finished.
func TestDrainingEndpointDuringPlatformOutage(t *testing.T) {
	c := startCluster(t, options{engines: 3})
	h, stop := c.startRandomTraffic(t, 3, 10)
	time.Sleep(recoveryTime)
	c.setFault("platform", `{"outage": true}`)
	left := time.Now()
	c.sendOrder(c.fleet.Engines[0].Address, `{"order":"leave","version":"v1","fence":1}`)
	time.Sleep(2 * drainPropagationLimit)
	c.setFault("platform", `{"outage": false}`)
	time.Sleep(recoveryTime)
	stop()
	c.expectNoPlacementAfter(c.fleet.Engines[0].Name, left)
	c.checkHistory(h, accountName)
	expectNoneTruncated(t, h)
}

// The same for an endpoint that only the platform's list names as leaving.
func TestEndpointListedAsDraining(t *testing.T) {
	c := startCluster(t, options{engines: 3})
	h, stop := c.startRandomTraffic(t, 4, 10)
	time.Sleep(recoveryTime)
	leaving := c.busiestEngine()
	left := time.Now()
	c.listAsDraining(leaving)
	time.Sleep(2 * drainPropagationLimit)
	stop()
	c.expectNoPlacementAfter(leaving, left)
	c.checkHistory(h, accountName)
	expectNoneTruncated(t, h)
}

// busiestEngine returns the engine that has had most requests. On a busy machine
// an engine may get hardly any in the time of the test, so that none named
// beforehand is sure to have work.
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

func (c *cluster) expectNoPlacementAfter(endpoint string, left time.Time) {
	c.t.Helper()
	last := c.lastPlacement(endpoint).Sub(left)
	c.t.Logf("last placement on %s %v after it began to leave", endpoint, last)
	if last > drainPropagationLimit {
		c.t.Errorf("%s got new work %v after it began to leave", endpoint, last)
	}
	if last < -time.Second {
		c.t.Errorf("%s had no work before it left; the test shows nothing", endpoint)
		for name, work := range c.summarizePlacements() {
			c.t.Logf("%s: %d placements among %.1f endpoints, from %v to %v after it began to leave", name, work.count,
				float64(work.candidates)/float64(work.count),
				work.first.Sub(left), work.last.Sub(left))
		}
	}
}

// expectNoneTruncated fails the test if a request without a refusal went wrong.
func expectNoneTruncated(t *testing.T, h *history) {
	t.Helper()
	for i := range h.operations {
		a := &h.operations[i].result
		if !a.complete && a.disposition == "" {
			text, _ := json.Marshal(a.body)
			t.Errorf("answer cut off: status %d, %v, %s", a.status, a.err, text)
		}
	}
}
