package placement

import (
	"fmt"
	"testing"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/decision/fleet"
	"kingcupcourse/internal/decision/warmup"
	"kingcupcourse/internal/ring"
)

// newColdDuty returns a duty of a host that owns two endpoints of a service with a
// cold rate; share is what it may send to one in a window.
func newColdDuty(t *testing.T, coldUntil time.Time) (d *Duty, share int) {
	t.Helper()
	d = newDuty(0)
	d.warmup.tolerance, d.warmup.listedHosts = ColdTolerance{Overage: 1.5, Slack: 5}, ring.NewLatest[*fleet.Ring]()
	d.warmup.listedHosts.Publish(fleet.NewRing([]fleet.Host{{Name: "h"}}))
	snapshot := &catalog.Snapshot{EndpointsKnown: true, Configuration: &catalog.Configuration{
		Services: map[string]catalog.Service{"s": {Name: "s", ColdTime: 3 * time.Second, ColdRate: 10}}}}
	for i := range 2 {
		snapshot.Endpoints = append(snapshot.Endpoints, catalog.Endpoint{Service: "s", ColdUntil: coldUntil,
			Endpoint: core.Endpoint{Name: fmt.Sprint("e", i), Address: fmt.Sprint("10.0.0.1:", i+1), Slots: 100}})
	}
	d.updateEndpoints(snapshot)
	return d, warmup.Rate{PerSecond: 10, Overage: 1.5, Slack: 5}.Share()
}

// place places requests in a shard until one finds no endpoint, and returns how many
// each endpoint got.
func (d *Duty) placeAll(shard, most int, now time.Time) map[string]int {
	placed := map[string]int{}
	for i := range most {
		req := newRequest(i, 10)
		req.Shard = shard
		choice := d.choose(req, now)
		if choice.Endpoint == "" {
			break
		}
		placed[choice.Endpoint]++
		d.applyUpdate(Update{Attempt: req.Attempt, Result: core.ResultCancelled}, now)
	}
	return placed
}

// A coordinator sends cold endpoints their share, and nothing if it is new, or if the
// host places alone. The request that is left is blocked by the cold filter.
func TestCoordinatorSendsColdEndpointsTheirShare(t *testing.T) {
	t.Parallel()
	d, share := newColdDuty(t, time.Now().Add(time.Minute))
	now := time.Now()
	if got := d.placeAll(1, 50, now); len(got) != 0 {
		t.Errorf("a new coordinator placed %v", got)
	}
	now = now.Add(2 * warmup.Window)
	if got := d.placeAll(0, 50, now); len(got) != 0 {
		t.Errorf("a host alone placed %v", got)
	}
	if got := d.placeAll(1, 50, now); got["e0"] != share || got["e1"] != share {
		t.Errorf("placed %v, want %d on each", got, share)
	}
	req := newRequest(100, 10)
	req.Shard = 1
	if choice := d.choose(req, now); choice.BlockedReason != "cold" || choice.ColdGrant {
		t.Errorf("%+v", choice)
	}
}

// Guards against a coordinator that begins after an endpoint failed and does not know
// that it may have restarted: the hosts list what they saw.
func TestCoordinatorLearnsFailuresFromLists(t *testing.T) {
	t.Parallel()
	d, share := newColdDuty(t, time.Time{})
	now := time.Now().Add(2 * warmup.Window)
	ApplyUpdates{Updates: Updates{Host: "other", Full: true, Failed: []FailedEndpoint{{"e0", 100}, {"unknown", -1}}}}.handle(d, now)
	if got := d.placeAll(1, 100, now); got["e0"] > share || got["e1"] < 50 {
		t.Errorf("placed %v, want at most %d on e0", got, share)
	}
	// Other hosts tell the coordinator of the endpoint.
	d.directory.setHosts(fleet.NewRing([]fleet.Host{{Name: "h"}, {Name: "c", Address: "c:1", Processor: 9}}), d.services)
	if got := d.failedByCoordinator(now)["c:1"]; len(got) != 1 || got[0] != (FailedEndpoint{"e0", 100}) {
		t.Errorf("listed %v", got)
	}
}

// A host refuses a choice of a coordinator that does not know that the endpoint is
// cold, and takes one that counts towards its rate.
func TestHostRefusesChoiceThatIgnoresColdness(t *testing.T) {
	t.Parallel()
	d, _ := newColdDuty(t, time.Time{})
	now := time.Now()
	confirm := func(cold bool) bool {
		m := Confirm{Reply: ring.NewReply[Confirmed](), Request: newRequest(1, 10), Endpoint: "e0", ColdGrant: cold}
		m.handle(d, now)
		confirmed, err := m.Wait(t.Context())
		return err == nil && confirmed.OK
	}
	if !confirm(false) {
		t.Error("a warm endpoint was refused")
	}
	EndpointSaid{Endpoint: d.endpoints["e0"].Endpoint, Cold: time.Second}.handle(d, now)
	if confirm(false) || !confirm(true) {
		t.Error("a cold endpoint was used without a grant, or refused with one")
	}
}
