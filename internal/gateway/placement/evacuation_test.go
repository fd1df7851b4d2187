package placement

import (
	"context"
	"fmt"
	"testing"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/decision/evacuation"
	"kingcupcourse/internal/decision/residency"
	"kingcupcourse/internal/ring"
)

// newZonesDuty returns a duty with two endpoints in each of the zones a, b and c, in
// the regions r, r and s.
func newZonesDuty(evacuated ...core.AvailabilityZone) *Duty {
	d := newDuty(0)
	d.zones = residency.Zones{"a": "r", "b": "r", "c": "s"}
	snapshot := &catalog.Snapshot{Evacuations: evacuation.Orders{}}
	for i := range 6 {
		zone := core.AvailabilityZone("abc"[i%3])
		snapshot.Endpoints = append(snapshot.Endpoints, catalog.Endpoint{Service: "s", Endpoint: core.Endpoint{
			Name: fmt.Sprint("e", i), Address: fmt.Sprint("10.0.0.1:", i+1), Slots: 4, AvailabilityZone: zone}})
	}
	for i, zone := range evacuated {
		snapshot.Evacuations[zone] = evacuation.Order{Zone: zone, Revision: uint64(i + 1)}
	}
	d.updateEndpoints(snapshot)
	return d
}

func (d *Duty) confirms(req Request, endpoint string) bool {
	m := Confirm{Reply: ring.NewReply[Confirmed](), Request: req, Endpoint: endpoint}
	m.handle(d, time.Now())
	confirmed, err := m.Wait(context.Background())
	return err == nil && confirmed.OK
}

// What either the host that asks or the host that chooses knows of evacuations and
// regions binds the choice. A host also refuses a choice that its own knowledge
// forbids.
func TestChoiceKeepsToEvacuationsAndRegions(t *testing.T) {
	for _, test := range []struct {
		known, asked []core.AvailabilityZone
		regions      []core.Region
		want         string
	}{
		{nil, nil, nil, "abc"},
		{[]core.AvailabilityZone{"a"}, nil, nil, "bc"},
		{nil, []core.AvailabilityZone{"a"}, nil, "bc"},
		{[]core.AvailabilityZone{"a"}, []core.AvailabilityZone{"b"}, nil, "c"},
		{[]core.AvailabilityZone{"a"}, nil, []core.Region{"r"}, "b"},
		{nil, nil, []core.Region{"s"}, "c"},
		{[]core.AvailabilityZone{"c"}, nil, []core.Region{"s"}, ""},
		{[]core.AvailabilityZone{"a", "b", "c"}, nil, nil, ""},
	} {
		d, used := newZonesDuty(test.known...), map[core.AvailabilityZone]bool{}
		for i := range 12 {
			for _, prompt := range []int{0, 100} {
				req := newRequest(2*i+prompt, prompt)
				req.EvacuatedZones, req.AllowedRegions = test.asked, test.regions
				if choice := d.choose(req, time.Now()); choice.Endpoint != "" {
					used[d.endpoints[choice.Endpoint].AvailabilityZone] = true
				}
			}
		}
		for _, e := range d.endpoints {
			want := false
			for _, zone := range test.want {
				want = want || core.AvailabilityZone(zone) == e.AvailabilityZone
			}
			if used[e.AvailabilityZone] != want {
				t.Errorf("%+v: zone %s used: %v", test, e.AvailabilityZone, !want)
			}
			req := newRequest(1000, 0)
			req.EvacuatedZones, req.AllowedRegions = test.asked, test.regions
			if d.confirms(req, e.Endpoint.Name) != want {
				t.Errorf("%+v: a choice of %s is confirmed: %v", test, e.Endpoint.Name, !want)
			}
		}
	}
}

// Guards against ejected endpoints that are used since all others, which are in an
// evacuated zone, count as sound ones.
func TestEjectionsAreWeighedAmongOpenEndpoints(t *testing.T) {
	d, now := newZonesDuty("a", "b"), time.Now()
	for _, e := range d.endpoints {
		for range 3 {
			if e.AvailabilityZone == "c" {
				e.health.RecordFailure(now)
			}
		}
	}
	if choice := d.choose(newRequest(1, 0), now); choice.Endpoint == "" {
		t.Errorf("%+v, want an ejected endpoint rather than none", choice)
	}
}

func TestProgressOfAnEvacuationCountsThisHostsAttempts(t *testing.T) {
	d, now := newZonesDuty(), time.Now()
	for i := range 12 {
		req := newRequest(i, 0)
		if i%2 == 1 {
			req.Host = "other"
		}
		d.choose(req, now)
	}
	total := 0
	for _, count := range d.runningByZone() {
		total += count
	}
	if total != 6 {
		t.Errorf("%d attempts of this host counted, want 6", total)
	}
}
