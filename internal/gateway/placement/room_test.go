package placement

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/decision/evacuation"
	"kingcupcourse/internal/decision/fleet"
	"kingcupcourse/internal/decision/overload"
	"kingcupcourse/internal/decision/spill"
	"kingcupcourse/internal/gateway/moves"
	"kingcupcourse/internal/ring"
)

// newZonedDuty returns the duty of host h in zone a, one of 32 hosts in the zones a
// and b with 12 endpoints in each. addresses are those of the other hosts, by zone.
func newZonedDuty(zoneAware bool, addresses map[core.AvailabilityZone]string) *Duty {
	d := New(Config{Host: core.Host{Name: "h", AvailabilityZone: "a"}, Snapshots: ring.NewLatest[*catalog.Snapshot](),
		Hosts: ring.NewLatest[*fleet.Ring](), Constraints: ring.NewLatest[map[string]moves.Constraints](),
		Outcomes: ring.New[moves.Message]("test_moves", 100), Overload: overload.NewPolicy(nil), ZoneAware: zoneAware, Log: zap.NewNop()})
	snapshot := &catalog.Snapshot{}
	hosts := []fleet.Host{{Name: "h", AvailabilityZone: "a", Processor: 0.1}}
	for _, zone := range []core.AvailabilityZone{"a", "b"} {
		for i := range 12 {
			snapshot.Endpoints = append(snapshot.Endpoints, catalog.Endpoint{Service: "s",
				Endpoint: core.Endpoint{Name: fmt.Sprint("e-", zone, i), Address: fmt.Sprintf("10.0.0.1:%d%d", len(snapshot.Endpoints), i+1), Slots: 4, AvailabilityZone: zone}})
		}
		for i := range 16 {
			hosts = append(hosts, fleet.Host{Name: fmt.Sprint("h-", zone, i), Address: addresses[zone], AvailabilityZone: zone, Processor: 1})
		}
	}
	d.updateEndpoints(snapshot)
	d.directory.setHosts(fleet.NewRing(hosts), d.services)
	return d
}

// serveZoned runs the duty and returns its client.
func serveZoned(t *testing.T, d *Duty) *Client {
	t.Helper()
	served := make(chan struct{})
	go func() { defer close(served); _ = d.Serve(t.Context()) }()
	t.Cleanup(func() { <-served })
	client := NewClient(d, zap.NewNop())
	client.timeout = 5 * time.Second // a busy machine must not make a coordinator silent
	return client
}

// coordinator answers placement requests with an endpoint of the zone, or refuses
// them if full is set. It says that its shard has the given room.
func coordinator(t *testing.T, zone core.AvailabilityZone, full bool, room ShardRoom) string {
	mux := http.NewServeMux()
	mux.Handle("POST "+choosePath, codec.Handle(func(_ context.Context, req *Request) (*Choice, error) {
		room.Shard = req.Shard
		choice := &Choice{Endpoint: fmt.Sprintf("e-%s%d", zone, 0), Rooms: []ShardRoom{room}}
		if full {
			choice.Endpoint, choice.Overload, choice.RetryAfterMS = "", true, 300
		}
		return choice, nil
	}))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against requests that are refused, or wait, while another zone has room,
// and against those that leave while home has some.
func TestRequestsLeaveAZoneWithoutRoom(t *testing.T) {
	t.Parallel()
	idle, full := ShardRoom{Free: 24, Slots: 24}, ShardRoom{Slots: 24, WaitMS: 299}
	for name, test := range map[string]struct {
		homeFull bool
		home     ShardRoom
		want     map[spill.Cause]bool
	}{
		"room at home":    {false, idle, map[spill.Cause]bool{"": true}},
		"home refuses":    {true, full, map[spill.Cause]bool{spill.CauseRefused: true, spill.CauseWait: true, spill.CauseExplore: true}},
		"home waits long": {false, full, map[spill.Cause]bool{"": true, spill.CauseWait: true, spill.CauseExplore: true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := serveZoned(t, newZonedDuty(true, map[core.AvailabilityZone]string{
				"a": coordinator(t, "a", test.homeFull, test.home), "b": coordinator(t, "b", false, idle)}))
			causes := map[spill.Cause]int{}
			for i := range 100 {
				placed := client.Place(t.Context(), newRequest(i, 1000))
				if placed.Refusal != nil {
					t.Fatalf("refused: %v", placed.Refusal)
				}
				if causes[placed.LeftZone]++; !test.want[placed.LeftZone] {
					t.Fatalf("request left its zone by cause %q", placed.LeftZone)
				}
				if left := placed.LeftZone != ""; left != (placed.Endpoint.AvailabilityZone == "b") {
					t.Fatalf("cause %q for an endpoint in zone %s", placed.LeftZone, placed.Endpoint.AvailabilityZone)
				}
			}
			if test.want[spill.CauseWait] && causes[spill.CauseWait] < 50 {
				t.Errorf("placements by cause %v, want most by the wait at home", causes)
			}
		})
	}
}

// Guards against requests that fail or wait because a coordinator was killed: the
// next one of the order answers, and at last the host chooses alone.
func TestSilentCoordinatorsArePassedOver(t *testing.T) {
	t.Parallel()
	gone := httptest.NewServer(nil)
	address := gone.Listener.Addr().String()
	gone.Close()
	idle := ShardRoom{Free: 24, Slots: 24}
	client := serveZoned(t, newZonedDuty(true, map[core.AvailabilityZone]string{"a": address, "b": coordinator(t, "b", false, idle)}))
	if placed := client.Place(t.Context(), newRequest(1, 1000)); placed.Refusal != nil || (placed.LeftZone != spill.CauseSilent && placed.LeftZone != "") {
		t.Errorf("home coordinator silent: %+v", placed)
	}
	client = serveZoned(t, newZonedDuty(true, map[core.AvailabilityZone]string{"a": address, "b": address}))
	for i := range 5 {
		if placed := client.Place(t.Context(), newRequest(10+i, 1000)); placed.Refusal != nil || placed.ByCoordinator {
			t.Errorf("all coordinators silent: %+v", placed)
		}
	}
}

// Guards against a request that waits for one frozen coordinator after the other:
// each costs the whole timeout.
func TestTwoSilentCoordinatorsAtMost(t *testing.T) {
	t.Parallel()
	var calls atomic.Int64
	failing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
	}))
	t.Cleanup(failing.Close)
	address := failing.Listener.Addr().String()
	client := serveZoned(t, newZonedDuty(true, map[core.AvailabilityZone]string{"a": address, "b": address}))
	if placed := client.Place(t.Context(), newRequest(1, 1000)); placed.Refusal != nil || calls.Load() > maxUnanswered {
		t.Errorf("%d coordinators asked, placed %+v", calls.Load(), placed)
	}
}

// Without the setting the wire and the order stay as they were.
func TestZonesAreIgnoredUnlessSet(t *testing.T) {
	now := time.Now()
	for _, zoneAware := range []bool{false, true} {
		d := newZonedDuty(zoneAware, nil)
		m := Choose{Reply: ring.NewReply[Choice](), Request: newRequest(1, 1000)}
		m.Request.Host, m.Request.Shard = "other", d.directory.services["s"].numbers[0]+1
		m.handle(d, now)
		choice, _ := m.Wait(t.Context())
		if (len(choice.Rooms) > 0) != zoneAware {
			t.Errorf("zone aware %v: answer with rooms %v", zoneAware, choice.Rooms)
		}
		list := ApplyUpdates{Reply: ring.NewReply[UpdatesAnswer](), Updates: Updates{Host: "other", Full: true,
			Running: []Running{{Request: m.Request, Endpoint: choice.Endpoint}}}}
		d.directory.self.Name = d.directory.coordinator("s", m.Request.Shard-1, now).Name // coordinates the shard itself
		list.handle(d, now.Add(time.Second))
		answer, _ := list.Wait(t.Context())
		if got := answer.Rooms["s"]; (len(got) > 0) != zoneAware || (zoneAware && got[0].Free != got[0].Slots-1) {
			t.Errorf("zone aware %v: answer to a list %+v", zoneAware, answer)
		}
	}
}

// Guards against requests to a plain service that queue at home while other zones
// are idle: no coordinator of a plain service refuses them.
func TestPlainServiceLeavesAQueue(t *testing.T) {
	d, now := newZonedDuty(true, nil), time.Now()
	s := d.directory.services["s"]
	home := s.home
	for i := range 600 {
		req := newRequest(i, 0)
		req.Shard = home + 1
		if choice := d.choose(req, now); choice.Endpoint == "" {
			t.Fatalf("not placed: %+v", choice)
		}
		if i < 60 { // teaches the time of one request
			d.applyUpdate(Update{Attempt: req.Attempt, Result: core.ResultOK, FirstPartMS: 50, TotalMS: 50}, now)
		}
	}
	if room := s.rooms[home]; room.Free != 0 || room.Wait < 300*time.Millisecond {
		t.Fatalf("room of a shard with 540 requests on %d slots: %+v", room.Slots, room)
	}
	for _, shard := range s.numbers {
		if shard != home {
			s.learn(shard, countedRoom{spill.Room{Free: 24, Slots: 24}, now})
		}
	}
	left := 0
	for i := range 100 {
		if targets := d.directory.targets(newRequest(1000+i, 0), d.maxWait(newRequest(i, 0)), d.isZoneOpen, now); targets[0].shard != home+1 {
			left++
		}
	}
	if left < 90 {
		t.Errorf("%d of 100 requests leave the queue at home", left)
	}
}

// Guards against requests of a host in an evacuated zone that are placed without a
// coordinator, since all shards asked lie in its zone.
func TestEvacuatedHomeZoneIsNotAsked(t *testing.T) {
	d, now := newZonedDuty(true, nil), time.Now()
	d.evacuations.SetOrders(evacuation.Orders{"a": {Zone: "a", Revision: 1, ObservedAt: now}})
	s := d.directory.services["s"]
	for i := range 50 {
		targets := d.directory.targets(newRequest(i, 1000), 300*time.Millisecond, d.isZoneOpen, now)
		if len(targets) == 0 {
			t.Fatal("no shard is asked")
		}
		for _, target := range targets {
			if zone := s.Zones[target.shard-1]; zone != "b" {
				t.Fatalf("shard %d of zone %s is asked", target.shard, zone)
			}
		}
	}
}

// What is heard later but was counted earlier does not replace what is known, and
// shards that do not exist are ignored.
func TestNewestRoomIsKept(t *testing.T) {
	d, now := newZonedDuty(true, nil), time.Now()
	s := d.directory.services["s"]
	shard := s.numbers[0]
	heard{rooms: map[string][]ShardRoom{"s": {{Shard: shard + 1, Free: 3, Slots: 24, AgeMS: 100}, {Shard: 99, Slots: 24}}}}.handle(d, now)
	heard{rooms: map[string][]ShardRoom{"s": {{Shard: shard + 1, Free: 9, Slots: 24, AgeMS: 400}}}}.handle(d, now.Add(100*time.Millisecond))
	if got := s.rooms[shard].aged(now.Add(200 * time.Millisecond)); got.Free != 3 || got.Age != 300*time.Millisecond || len(s.rooms) != 1 {
		t.Errorf("room %+v, %d shards known", got, len(s.rooms))
	}
}

// A link that turns slow is known by the time of the calls, and tried again later.
func TestLinkTimes(t *testing.T) {
	l, now := newLinks(), time.Now()
	l.observe("a", time.Millisecond, now)
	for range 20 {
		l.observe("b", 31*time.Millisecond, now)
	}
	if got := l.extra("a", now)["b"]; got < 25*time.Millisecond || got > 30*time.Millisecond {
		t.Errorf("extra time %v, want about 30 ms", got)
	}
	if got := l.extra("a", now.Add(2*linkMaxAge)); len(got) != 0 {
		t.Errorf("old measurements used: %v", got)
	}
}
