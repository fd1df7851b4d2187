package warmup

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulated is a host with a clock of its own, and a view of the fleet that is late.
type simulated struct {
	limiter *Limiter
	// offset and drift are those of its clock.
	offset time.Duration
	drift  float64
	// viewLag is how late it learns of a new owner.
	viewLag time.Duration
	// down is until when the host does not run.
	down time.Time
}

// now returns the host's time.
func (h *simulated) now(t time.Time) time.Time {
	return start.Add(h.offset + time.Duration(float64(t.Sub(start))*h.drift))
}

// fleetRun is a run of a fleet before one endpoint that is cold all the time.
type fleetRun struct {
	hosts []*simulated
	// owners are the changes of the owner, in order of time.
	owners []change
	// sent are the requests as they were sent and arrived.
	sent []sending
}

type change struct {
	at    time.Time
	owner int
}

type sending struct{ at, arrived time.Time }

// ownerBy returns the owner as a host sees it.
func (r *fleetRun) ownerBy(h *simulated, t time.Time) int {
	owner := r.owners[0].owner
	for _, c := range r.owners {
		if !t.Before(c.at.Add(h.viewLag)) {
			owner = c.owner
		}
	}
	return owner
}

// restart gives a host that was killed an empty state.
func (r *fleetRun) restart(h *simulated, t time.Time) {
	h.limiter = New()
	h.limiter.SetEntries(entry(1, h.now(t.Add(time.Hour))), false, h.now(t))
}

// request asks a host for the endpoint. Each of the hosts may be asked, also by one
// that has an old view.
func (r *fleetRun) request(asked int, t time.Time, delay, flight time.Duration) {
	h := r.hosts[asked]
	if t.Before(h.down) {
		return
	}
	now := h.now(t)
	h.limiter.SetOwner("i-1", r.ownerBy(h, t) == asked, now)
	if !h.limiter.Allows("i-1", now) {
		return
	}
	h.limiter.Grant("i-1", now)
	r.sent = append(r.sent, sending{t.Add(delay), t.Add(delay + flight)})
}

// busiestSecond returns the most requests that were sent and arrived in one second.
func (r *fleetRun) busiestSecond() int {
	slices.SortFunc(r.sent, func(a, b sending) int { return a.at.Compare(b.at) })
	most := 0
	for i := range r.sent {
		from, count := r.sent[i].at, 0
		for _, s := range r.sent[i:] {
			if s.at.Sub(from) > time.Second {
				break
			}
			if s.arrived.Sub(from) <= time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// Whatever hosts are asked, whenever owners change, are killed, or keep an old view
// because they are cut off from the store, the endpoint never gets more than its
// bound in any second. Clocks differ and drift.
func TestBoundHoldsOverHostsCutsAndOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := &fleetRun{}
		count := rapid.IntRange(2, 6).Draw(t, "hosts")
		cut := rapid.IntRange(0, count-1).Draw(t, "cut off")
		for i := range count {
			h := &simulated{
				offset: time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "offset ms")) * time.Millisecond,
				drift:  rapid.Float64Range(0.99, 1.01).Draw(t, "drift"),
			}
			h.viewLag = time.Duration(rapid.IntRange(0, 800).Draw(t, "lag ms")) * time.Millisecond
			if i == cut {
				h.viewLag = time.Hour
			}
			run.hosts = append(run.hosts, h)
			run.restart(h, start)
		}
		at := start
		for range rapid.IntRange(1, 5).Draw(t, "owners") {
			run.owners = append(run.owners, change{at, rapid.IntRange(0, count-1).Draw(t, "owner")})
			at = at.Add(time.Duration(rapid.IntRange(1000, 2500).Draw(t, "term ms")) * time.Millisecond)
		}
		killAt, killed := start.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "kill ms"))*time.Millisecond), rapid.IntRange(0, count-1).Draw(t, "killed")
		pause := time.Duration(rapid.IntRange(8, 60).Draw(t, "pause ms")) * time.Millisecond
		delays := rapid.SliceOfN(rapid.IntRange(0, 40), 16, 16).Draw(t, "delays ms")
		for i, now := 0, start; now.Before(start.Add(7 * time.Second)); i, now = i+1, now.Add(pause) {
			if h := run.hosts[killed]; !now.Before(killAt) && h.down.IsZero() {
				h.down = now.Add(300 * time.Millisecond)
				run.restart(h, now)
			}
			for asked := range run.hosts {
				delay, flight := delays[(i+asked)%16], delays[(i*7+asked)%16]
				run.request(asked, now, time.Duration(delay)*time.Millisecond, time.Duration(flight)*time.Millisecond)
			}
		}
		if got := run.busiestSecond(); got > rate.Bound() {
			t.Fatalf("%d requests in one second, allowed %d", got, rate.Bound())
		}
	})
}

// Replays a zone whose endpoints come back all at once, cold, beside two busy zones:
// requests go to the endpoint with the fewest grants, as the idle one is the least
// busy. None exceeds its rate, they are used meanwhile, and none gets a rush when it
// is warm.
func TestZoneThatComesBackColdAllAtOnce(t *testing.T) {
	const zone, perSecond = 46, 1100
	l, now := New(), start
	name := func(i int) string { return fmt.Sprint("i-", i) }
	entries := map[string]Entry{}
	for i := range 2 * zone {
		entries[name(i)] = Entry{StartedUnixMS: 1, Rate: rate}
	}
	l.SetEntries(entries, false, now)
	grants := map[string][]time.Time{}
	serve := func(endpoints int, span time.Duration) (refused int) {
		for end := now.Add(span); now.Before(end); now = now.Add(time.Second / perSecond) {
			best := ""
			for i := range endpoints {
				candidate := name(i)
				l.SetOwner(candidate, true, now)
				if l.Allows(candidate, now) && (best == "" || len(grants[candidate]) < len(grants[best])) {
					best = candidate
				}
			}
			if best == "" {
				refused++
				continue
			}
			l.Grant(best, now)
			grants[best] = append(grants[best], now)
		}
		return refused
	}
	serve(2*zone, 5*time.Second)
	back := now
	for i := 2 * zone; i < 3*zone; i++ {
		entries[name(i)] = Entry{StartedUnixMS: 2, ColdUntil: now.Add(rate.ColdFor), Rate: rate}
	}
	l.SetEntries(entries, true, now)
	if refused := serve(3*zone, rate.ColdFor+3*Window); refused > 0 {
		t.Errorf("%d requests refused beside warm endpoints", refused)
	}
	for i := 2 * zone; i < 3*zone; i++ {
		granted := grants[name(i)]
		if len(granted) == 0 || granted[0].Sub(back) > rate.ColdFor {
			t.Fatalf("%s got no request while it was cold", name(i))
		}
		for j, at := range granted {
			if at.Sub(back) > rate.ColdFor {
				break // the limit ends within a window from here
			}
			in := 0
			for _, other := range granted[j:] {
				if other.Sub(at) < Window {
					in++
				}
			}
			limit := rate.Share()
			if at.Sub(back) > rate.ColdFor-Window {
				limit *= 2
			}
			if in > limit {
				t.Fatalf("%s got %d requests in a window that begins %v after it came back, want at most %d", name(i), in, at.Sub(back), limit)
			}
		}
	}
}
