package fallback

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/message"
)

var now = time.Unix(1000, 0)

func endpoint(name string, quota int) Endpoint {
	return Endpoint{Endpoint: core.Endpoint{Name: name, Pool: "p"}, Quota: quota}
}

func request(attempt string, tier core.Tier) Request {
	return Request{Attempt: attempt, Pool: "p", Tier: tier, Deadline: now.Add(time.Minute)}
}

func newTestPlacer(endpoints ...Endpoint) *Placer {
	placer := NewPlacer()
	placer.SetEndpoints(map[string][]Endpoint{"p": endpoints})
	return placer
}

func TestEligibleEndpoints(t *testing.T) {
	m := &manifest.Manifest{
		Pools: []manifest.Pool{{Name: "p", Endpoints: []manifest.Endpoint{
			{Name: "good", Version: "v1", Slots: 8}, {Name: "leaving", Version: "v1", Slots: 8},
			{Name: "bad", Version: "v0", Slots: 8}, {Name: "unproved", Version: "v2", Slots: 8},
			{Name: "proved", Version: "v3", Slots: 8}, {Name: "reverted", Version: "v4", Slots: 8},
			{Name: "replaced by a done move", Version: "v-1", Slots: 8}, {Name: "move name used again", Version: "v5", Slots: 8}}}},
		Moves: []manifest.Move{{Name: "a", Pool: "p", ToVersion: "v2"}, {Name: "b", Pool: "p", FromVersion: "v-1", ToVersion: "v3"},
			{Name: "c", Pool: "p", ToVersion: "v4"}, {Name: "d", Pool: "p", ToVersion: "v5"}},
	}
	state := ClusterState{
		Draining:    map[string]bool{"leaving": true},
		BadVersions: map[core.EndpointVersion]message.BadVersion{{Pool: "p", Version: "v0"}: {}},
		Moves: map[string]message.MoveStage{"a": {Stage: message.StageRamp, ToVersion: "v2"},
			"b": {Stage: message.StageDone, ToVersion: "v3"}, "c": {Stage: message.StageReverted, ToVersion: "v4"},
			"d": {Stage: message.StageDone, ToVersion: "v4"}},
	}
	var names []string
	for _, e := range EligibleEndpoints(m, state, "h", 0.25)["p"] {
		names = append(names, fmt.Sprint(e.Name, e.Quota))
	}
	if got := fmt.Sprint(names); got != "[good2 proved2]" {
		t.Fatal("eligible endpoints with their quotas: ", got)
	}
}

// Guards against each host of a large fleet taking a slot of each endpoint: 61
// hosts without a scheduler then send 61 requests to nine slots.
func TestHostsTogetherUseTheSlotsOfAnEndpoint(t *testing.T) {
	const slots, endpoints = 9, 60
	var pool manifest.Pool
	for i := range endpoints {
		pool.Endpoints = append(pool.Endpoints, manifest.Endpoint{Name: fmt.Sprint("e", i), Slots: slots})
	}
	pool.Name = "p"
	m := &manifest.Manifest{Pools: []manifest.Pool{pool}}
	for _, hosts := range []int{1, 3, 7, 61, 90, 380} {
		used, total := map[string]int{}, 0
		for h := range hosts {
			eligible := EligibleEndpoints(m, ClusterState{}, fmt.Sprint("host-", h), 1/float64(hosts))["p"]
			if len(eligible) == 0 {
				t.Errorf("%d hosts: host-%d may use no endpoint", hosts, h)
			}
			for _, e := range eligible {
				used[e.Name] += e.Quota
				total += e.Quota
			}
		}
		for name, quota := range used {
			if quota > slots+4*3 { // four standard deviations of the hashes' sum
				t.Errorf("%d hosts together use %d of %d slots of %s", hosts, quota, slots, name)
			}
		}
		if mean := float64(total) / endpoints; mean > 1.2*slots || mean < 0.5*slots {
			t.Errorf("%d hosts together use %.1f of %d slots of an endpoint on average", hosts, mean, slots)
		}
	}
}

func TestSlotQuotaAndHostFraction(t *testing.T) {
	if got := SlotQuota(16, 0.25, "h", "e"); got != 4 {
		t.Fatalf("%d of 16 slots for a fourth of the hosts, want 4", got)
	}
	if got := SlotQuota(15, 0.25, "h", "e"); got != 3 {
		t.Fatalf("%d of 15 slots for a fourth of the hosts, want 3, rounded down", got)
	}
	members := []message.Member{{Role: message.RoleEntry}, {Role: message.RoleEntry},
		{Role: message.RoleEntry, Draining: true}, {Role: message.RoleScheduler}}
	if HostFraction(0, members) != 0.5 || HostFraction(0.3, members) != 0.3 || HostFraction(0, nil) != 1 {
		t.Fatal("HostFraction must be the setting, else an equal split among entry hosts")
	}
}

func TestReleasedSlotGoesToHighestTierInArrivalOrder(t *testing.T) {
	placer := newTestPlacer(endpoint("a", 1))
	if got := placer.Add(request("first", 3), now); len(got) != 1 || got[0].Grant.Endpoint != "a" {
		t.Fatalf("got %+v, want a grant on endpoint a", got)
	}
	for i, tier := range []core.Tier{3, 1, 2, 1} {
		if got := placer.Add(request(fmt.Sprint(i), tier), now); len(got) != 0 {
			t.Fatalf("placed beyond the quota: %+v", got)
		}
	}
	last := "first"
	for _, want := range []string{"1", "3", "2", "0"} {
		placer.Release(last)
		got := placer.Place(now)
		if len(got) != 1 || got[0].Attempt != want {
			t.Fatalf("got %+v, want a placement of attempt %s", got, want)
		}
		last = want
	}
}

func TestRefusesWhenAllEndpointsAreExcluded(t *testing.T) {
	placer := newTestPlacer(endpoint("a", 1))
	r := request("x", 1)
	r.Exclude = []string{"a"}
	if got := placer.Add(r, now); len(got) != 1 || got[0].Refusal == nil || got[0].Refusal.Reason != core.ReasonNoEndpoint {
		t.Fatalf("got %+v, want a refusal for lack of endpoints", got)
	}
}

func TestWaitingRequestIsRefusedAtItsDeadline(t *testing.T) {
	placer := newTestPlacer(endpoint("a", 1))
	placer.Add(request("runs", 1), now)
	placer.Add(request("waits", 1), now)
	if !placer.NextDeadline().Equal(now.Add(time.Minute)) {
		t.Fatal("next deadline is not that of the waiting request: ", placer.NextDeadline())
	}
	got := placer.Place(now.Add(time.Minute))
	if len(got) != 1 || got[0].Refusal == nil || got[0].Refusal.Reason != core.ReasonDeadlinePassed {
		t.Fatalf("got %+v, want a refusal at the deadline", got)
	}
}

func TestQuotaIsRespectedAndLowestTierIsShedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		placer := newTestPlacer(endpoint("a", 2), endpoint("b", 3))
		tiers, running := map[string]core.Tier{}, map[string]string{}
		for i := range rapid.IntRange(1, 600).Draw(t, "steps") {
			var placements []Placement
			if len(running) > 0 && rapid.IntRange(0, 9).Draw(t, "free") == 0 {
				for attempt := range running {
					placer.Release(attempt)
					delete(running, attempt)
					break
				}
				placements = placer.Place(now)
			} else {
				r := request(fmt.Sprint(i), core.Tier(rapid.IntRange(1, 3).Draw(t, "tier")))
				tiers[r.Attempt] = r.Tier
				placements = placer.Add(r, now)
			}
			for _, p := range placements {
				if p.Refusal == nil {
					running[p.Attempt] = p.Grant.Endpoint
				} else if len(placer.waiting) > 0 && tiers[p.Attempt] < placer.waiting[len(placer.waiting)-1].Tier {
					t.Fatalf("tier %d was shed while tier %d is waiting", tiers[p.Attempt], placer.waiting[len(placer.waiting)-1].Tier)
				}
			}
			used := map[string]int{}
			for _, name := range running {
				used[name]++
			}
			if used["a"] > 2 || used["b"] > 3 || len(placer.waiting) > MaxWaiting {
				t.Fatalf("over the limit: slots used %v, %d requests waiting", used, len(placer.waiting))
			}
		}
	})
}
