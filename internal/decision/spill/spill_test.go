package spill

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kingcupcourse/internal/core"
)

// both runs the same demand with the decider and with shards asked in turn.
func both(zones, ticks int, change func(*simulation), arrivals func(zone, tick int) float64) (decided, rotated *simulation) {
	decided, rotated = newSimulation(zones), newSimulation(zones)
	rotated.rotation = true
	for _, s := range []*simulation{decided, rotated} {
		if change != nil {
			change(s)
		}
		s.run(ticks, arrivals)
	}
	return decided, rotated
}

// Guards against requests that wait at home, or are refused, while the zones whose
// peak has passed have room: each zone's mean is below what it serves, its peak
// above.
func TestWaveThroughFourZones(t *testing.T) {
	decided, rotated := both(4, 4000, nil, wave(1.4, 0.55, 1300))
	t.Logf("decided: refused %d, wait %v, left %d; in turn: refused %d, wait %v, left %d", decided.refused, decided.meanWait(), decided.left,
		rotated.refused, rotated.meanWait(), rotated.left)
	if decided.refused > 0 || decided.meanWait() > rotated.meanWait()/2 {
		t.Errorf("%d refused, mean wait %v, want none and less than half of %v", decided.refused, decided.meanWait(), rotated.meanWait())
	}
	if decided.both > 0 {
		t.Errorf("%d requests crossed another one of the opposite direction", decided.both)
	}
}

// The peak of the wave exceeds what all zones serve together: the decider refuses no
// more than asking in turn, and sends fewer requests to other zones for it.
func TestWaveAboveAllRoom(t *testing.T) {
	decided, rotated := both(4, 4000, nil, wave(1.9, 0.55, 1300))
	t.Logf("decided: refused %d, wait %v, left %d, vain %d; in turn: refused %d, wait %v, left %d, vain %d", decided.refused, decided.meanWait(),
		decided.left, decided.vain, rotated.refused, rotated.meanWait(), rotated.left, rotated.vain)
	if decided.refused > rotated.refused+rotated.refused/50 || decided.vain > rotated.vain/2 {
		t.Errorf("%d refused and %d asked in vain, want at most about %d and half of %d", decided.refused, decided.vain, rotated.refused, rotated.vain)
	}
}

// A zone that loses a third of its endpoints sends what is too much for it to all
// zones with room, and nothing once they are back.
func TestZoneLosesAThirdOfItsEndpoints(t *testing.T) {
	const lost, back, end = 500, 1500, 3000
	loss := func(s *simulation) { s.zones[1].slots = shardSlots * 2 / 3 }
	run := func(rotation bool) *simulation {
		s := newSimulation(4)
		s.rotation = rotation
		s.run(lost, wave(1.35, 0, 1))
		loss(s)
		s.run(back-lost, wave(1.35, 0, 1))
		s.zones[1].slots, s.leftAfter = shardSlots, map[int]int{}
		s.run(end-back, wave(1.35, 0, 1))
		return s
	}
	decided, rotated := run(false), run(true)
	if decided.refused > 0 || decided.meanWait() > rotated.meanWait()/2 {
		t.Errorf("%d refused, mean wait %v, want none and less than half of %v", decided.refused, decided.meanWait(), rotated.meanWait())
	}
	for tick, count := range decided.leftAfter {
		if tick > 200 {
			t.Errorf("%d requests left their zone %d ticks after its endpoints were back", count, tick)
		}
	}
}

// A burst in one zone goes to the others in proportion to their room, not in equal
// parts, and leaves the demand there alone.
func TestBurstInOneZoneSpreadsByRoom(t *testing.T) {
	base := []float64{3.6, 1.4, 0.9, 0.4}
	decided, rotated := both(4, 1000, nil, func(zone, _ int) float64 { return base[zone] })
	to := decided.taken[0]
	if !(to[3] > to[2] && to[2] > to[1] && to[1] > 0) || to[3] < 3*to[1]/2 {
		t.Errorf("the burst went to the zones as %v, want most to the last", to)
	}
	for zone := 1; zone < 4; zone++ {
		for other := range 4 {
			if other != zone && decided.taken[zone][other] > 0 {
				t.Errorf("%d requests of zone %d were displaced to zone %d", decided.taken[zone][other], zone, other)
			}
		}
	}
	if decided.refused > rotated.refused || decided.meanWait() > rotated.meanWait()/2 {
		t.Errorf("%d refused, mean wait %v; in turn %d and %v", decided.refused, decided.meanWait(), rotated.refused, rotated.meanWait())
	}
}

// Guards against requests that leave in vain: while all zones are full, other
// zones have no room either.
func TestBurstInAllZonesStaysHome(t *testing.T) {
	decided, rotated := both(4, 1000, nil, func(int, int) float64 { return 4 })
	if decided.left > decided.placed/50 || decided.vain > decided.refused/10 {
		t.Errorf("%d of %d left, %d asked in vain for %d refused", decided.left, decided.placed, decided.vain, decided.refused)
	}
	if rotated.vain < 5*decided.vain || decided.placed < rotated.placed*98/100 {
		t.Errorf("placed %d, asked in vain %d; in turn %d and %d", decided.placed, decided.vain, rotated.placed, rotated.vain)
	}
}

// Two zones are full at the same time: both send to the other two, not to each other.
func TestTwoZonesFullAtTheSameTime(t *testing.T) {
	demand := func(zone, _ int) float64 {
		if zone < 2 {
			return 2.3
		}
		return 0.9
	}
	decided, rotated := both(4, 2000, nil, demand)
	if decided.refused > 0 || decided.both > 0 || decided.meanWait() > rotated.meanWait() {
		t.Errorf("%d refused, %d crossed, mean wait %v, in turn %v", decided.refused, decided.both, decided.meanWait(), rotated.meanWait())
	}
}

// Room that nobody has heard of for a second counts as unknown, so that an old
// report of idle endpoints draws no load but what makes it known.
func TestStaleRoomDrawsNoLoad(t *testing.T) {
	count := func(age time.Duration) (left int) {
		d := NewDecider()
		for i := range 1000 {
			steps := d.Order(Request{MaxWait: maxWait, Draw: float64(i) / 1000}, 0, []Shard{
				{Number: 0, Zone: "a", Room: Room{Slots: 36, Wait: 150 * time.Millisecond}},
				{Number: 1, Zone: "b", Room: Room{Slots: 36, Free: 30, Age: age}},
			}, nil)
			if steps[0].Shard != 0 {
				left++
			}
		}
		return left
	}
	if fresh, stale := count(0), count(2*MaxAge); fresh < 500 || stale > 150 || stale == 0 {
		t.Errorf("%d of 1000 left for fresh room, %d for stale room", fresh, stale)
	}
	// Of two shards with the same room, the one heard of lately gets more.
	d, got := NewDecider(), map[int]int{}
	for i := range 1000 {
		got[d.Order(Request{MaxWait: maxWait, Draw: float64(i) / 1000}, 0, []Shard{
			{Number: 0, Zone: "a", Room: Room{Slots: 36, Wait: maxWait}},
			{Number: 1, Zone: "b", Room: Room{Slots: 36, Free: 30, Age: 100 * time.Millisecond}},
			{Number: 2, Zone: "c", Room: Room{Slots: 36, Free: 30, Age: 700 * time.Millisecond}},
		}, nil)[0].Shard]++
	}
	if ratio := float64(got[1]) / float64(got[2]); math.Abs(ratio-3) > 0.5 {
		t.Errorf("%v requests by shard, want three to one for room of 0.1 and 0.7 s", got)
	}
}

// A link that has become slow costs more than the wait at home.
func TestSlowLinkKeepsRequestsHome(t *testing.T) {
	leaves := func(link time.Duration, bytes int) bool {
		steps := NewDecider().Order(Request{MaxWait: maxWait, Bytes: bytes}, 0, []Shard{
			{Number: 0, Zone: "a", Room: Room{Slots: 36, Wait: 80 * time.Millisecond}},
			{Number: 1, Zone: "b", Room: Room{Slots: 36, Free: 30}},
		}, map[core.AvailabilityZone]time.Duration{"b": link})
		return steps[0].Shard == 1
	}
	if !leaves(time.Millisecond, 4000) || leaves(90*time.Millisecond, 4000) || leaves(time.Millisecond, 200_000) {
		t.Error("want a request to leave over a link of 1 ms, but not over one of 90 ms or with 200 kB")
	}
}

// Guards against requests of an evacuated zone that ask shards in vain: their home
// shard is closed.
func TestClosedHomeIsNotAsked(t *testing.T) {
	shards := []Shard{{Number: 1, Zone: "b", Room: Room{Slots: 36, Wait: maxWait}}, {Number: 2, Zone: "c", Room: Room{Slots: 36, Free: 30}},
		{Number: 3, Zone: "d"}}
	for i := range 100 {
		steps := NewDecider().Order(Request{MaxWait: maxWait, Draw: float64(i) / 100}, 0, shards, nil)
		if len(steps) < 2 || steps[0] != (Step{Shard: 2, Cause: CauseClosed}) || slices.ContainsFunc(steps, func(s Step) bool { return s.Shard == 0 }) {
			t.Fatalf("asks %v, want first the shard with room and never the home shard", steps)
		}
	}
	if steps := NewDecider().Order(Request{}, 0, nil, nil); len(steps) != 0 {
		t.Errorf("asks %v without any open shard", steps)
	}
}

// Guards against a shard whose requests leave and return by turns: between the two
// bounds the answer stays what it was.
func TestHysteresis(t *testing.T) {
	d := NewDecider()
	leaves := func(wait time.Duration) bool {
		home := Shard{Room: Room{Slots: 1, Wait: wait}}
		return d.leaves(Request{MaxWait: 100 * time.Millisecond}, &home)
	}
	for i, test := range []struct {
		wait time.Duration
		want bool
	}{{20, false}, {30, true}, {20, true}, {10, false}, {20, false}} {
		if got := leaves(test.wait * time.Millisecond); got != test.want {
			t.Errorf("step %d, wait of %d ms: leaves %v", i, test.wait, got)
		}
	}
}

// Whatever is known, the home shard is asked, no shard twice, and of two shards
// that see the same counts at most one sends to the other.
func TestOrderProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 20).Draw(t, "shards")
		shards := make([]Shard, count)
		for i := range shards {
			slots := rapid.IntRange(0, 40).Draw(t, "slots")
			shards[i] = Shard{Number: 3 * i, Zone: rapid.SampledFrom([]core.AvailabilityZone{"a", "b", "c", ""}).Draw(t, "zone"), Room: Room{
				Slots: slots, Free: rapid.IntRange(0, slots).Draw(t, "free"),
				Wait: time.Duration(rapid.IntRange(0, 400).Draw(t, "wait")) * time.Millisecond,
				Age:  time.Duration(rapid.IntRange(0, 1500).Draw(t, "age")) * time.Millisecond,
			}}
		}
		req := Request{MaxWait: time.Duration(rapid.IntRange(0, 300).Draw(t, "max wait")) * time.Millisecond,
			Bytes: rapid.IntRange(0, 100_000).Draw(t, "bytes"), Draw: rapid.Float64Range(0, 0.999999).Draw(t, "draw")}
		first := map[int]Step{}
		for _, home := range shards {
			steps := NewDecider().Order(req, home.Number, shards, nil)
			asked := map[int]bool{}
			for _, step := range steps {
				if asked[step.Shard] {
					t.Fatalf("shard %d asked twice: %v", step.Shard, steps)
				}
				asked[step.Shard] = true
			}
			if len(steps) > maxSteps || !asked[home.Number] || (count > 1 && len(steps) < 2) {
				t.Fatalf("home %d: %v", home.Number, steps)
			}
			if !slices.ContainsFunc(shards, func(s Shard) bool { return s.Number == steps[0].Shard }) {
				t.Fatalf("asks unknown shard: %v", steps)
			}
			first[home.Number] = steps[0]
		}
		for home, step := range first {
			if step.Cause == CauseWait && first[step.Shard].Cause == CauseWait && first[step.Shard].Shard == home {
				t.Fatalf("shards %d and %d send each other requests", home, step.Shard)
			}
		}
	})
}
