package mirror

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/fleet"
)

func newHosts(count, zones int) []fleet.Host {
	var hosts []fleet.Host
	for i := range count {
		processor := 0.2
		if i%20 < zones {
			processor = 0.8
		}
		name := fmt.Sprint("host-", i)
		hosts = append(hosts, fleet.Host{Name: name, Address: name, Processor: processor,
			AvailabilityZone: core.AvailabilityZone(fmt.Sprint("zone-", i%zones))})
	}
	return hosts
}

// Guards against store calls that grow with the fleet: one host of each
// availability zone reads the store, and it has as much processor time as any
// other in the zone.
func TestOneHostOfEachZoneReadsTheStore(t *testing.T) {
	for _, count := range []int{16, 61, 90, 295, 380} {
		hosts, readers := newHosts(count, 5), map[core.AvailabilityZone]fleet.Host{}
		for _, host := range hosts {
			upstreams := Upstreams(hosts, host.Name)
			if len(upstreams) == 0 {
				if _, ok := readers[host.AvailabilityZone]; ok {
					t.Errorf("%d hosts: a second host of %s reads the store", count, host.AvailabilityZone)
				}
				readers[host.AvailabilityZone] = host
			}
			for _, upstream := range upstreams {
				if upstream.AvailabilityZone != host.AvailabilityZone || upstream.Processor < host.Processor {
					t.Errorf("%d hosts: %v learns from %v", count, host, upstream)
				}
			}
		}
		if len(readers) != 5 {
			t.Errorf("%d hosts: %d of 5 zones have a reader", count, len(readers))
		}
	}
}

// Guards against a whole availability zone reading the store while its first two
// hosts are cut off: each change then took four calls of each host.
func TestOneHostReadsTheStoreWhileTheFirstTwoAreLost(t *testing.T) {
	const lost, tick = 2, 50 * time.Millisecond
	hosts := newHosts(59, 1)
	order := append([]fleet.Host(nil), hosts...)
	slices.SortFunc(order, func(a, b fleet.Host) int {
		return cmp.Compare(len(Upstreams(hosts, a.Name)), len(Upstreams(hosts, b.Name)))
	})
	now := time.Unix(1000, 0)
	sources, position := map[string]*Source{}, map[string]int{}
	for i, host := range order {
		position[host.Name] = i
		sources[host.Name] = NewSource()
		sources[host.Name].SetUpstreams(Upstreams(hosts, host.Name), now)
	}
	readers := map[string]bool{}
	for begin := now; now.Sub(begin) < 6*time.Second; now = now.Add(tick) {
		for _, host := range order[lost:] {
			source := sources[host.Name]
			if next, _, ok := source.NextUpstream(now); ok && position[next.Name] < lost {
				source.UpstreamFailed(next.Address, now)
			} else if ok {
				source.UpstreamAnswered(next.Address, now.Sub(sources[next.Name].ConfirmedAt()), false, now)
			}
			if source.ReadsStore(now) {
				source.StoreAnswered(now)
				readers[host.Name] = true
			}
		}
	}
	if len(readers) != 1 {
		t.Errorf("%d hosts of %d read the store, want 1", len(readers), len(order)-lost)
	}
}

func TestAllHostsOfASmallFleetReadTheStore(t *testing.T) {
	hosts := newHosts(maxDirectHosts, 3)
	for _, host := range hosts {
		if upstreams := Upstreams(hosts, host.Name); len(upstreams) > 0 {
			t.Errorf("%s learns from %v", host.Name, upstreams)
		}
	}
}

// A host leaves an upstream that lost the store, one that does not answer, and one
// that lacks changes; it returns once the upstream is fresh. While no upstream is
// fresh it reads the store, and only after a probe.
func TestHostReadsTheStoreWhileNoUpstreamIsFresh(t *testing.T) {
	upstreams := newHosts(2, 1)
	for what, fail := range map[string]func(s *Source, address string, now time.Time){
		"stale":  func(s *Source, address string, now time.Time) { s.UpstreamAnswered(address, MaxAge+1, false, now) },
		"behind": func(s *Source, address string, now time.Time) { s.UpstreamAnswered(address, 0, true, now) },
		"silent": func(s *Source, address string, now time.Time) { s.UpstreamFailed(address, now) },
	} {
		now := time.Unix(1000, 0)
		s := NewSource()
		s.SetUpstreams(upstreams, now)
		s.UpstreamAnswered("host-0", 100*time.Millisecond, false, now)
		if first, _, ok := s.NextUpstream(now); !ok || first.Name != "host-0" || s.ReadsStore(now) {
			t.Fatalf("%s: before, the host asks %v", what, first)
		}
		fail(s, "host-0", now)
		if next, _, ok := s.NextUpstream(now); !ok || next.Name != "host-1" {
			t.Errorf("%s: then the host asks %v, want the second upstream", what, next)
		}
		fail(s, "host-1", now)
		if _, retryAt, ok := s.NextUpstream(now); ok || !retryAt.After(now) {
			t.Errorf("%s: an upstream is asked again at once", what)
		}
		if s.ReadsStore(now) {
			t.Errorf("%s: the host reads the store although its state is fresh", what)
		}
		now = now.Add(MaxAge + time.Millisecond)
		if !s.ReadsStore(now) || s.StoreWorks() {
			t.Errorf("%s: after %v the host reads the store: %v, without a probe: %v", what, MaxAge, s.ReadsStore(now), s.StoreWorks())
		}
		s.StoreAnswered(now)
		if !s.StoreWorks() || s.ConfirmedAt() != now {
			t.Errorf("%s: a probe does not confirm the store", what)
		}
		s.UpstreamAnswered("host-0", 0, false, now)
		if s.ReadsStore(now) {
			t.Errorf("%s: the host still reads the store after its upstream has answered", what)
		}
	}
}
