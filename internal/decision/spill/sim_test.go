package spill

import (
	"fmt"
	"math"
	"time"

	"kingcupcourse/internal/core"
)

// The simulation steps in ticks. A shard serves its requests at a constant rate,
// and a request waits until those before it are served.
const (
	tick       = 10 * time.Millisecond
	runTicks   = 20 // a request takes 200 ms
	shardSlots = 36 // at most 1.8 requests a tick
	learnTicks = 20 // hosts learn of other shards every 200 ms
	maxWait    = 180 * time.Millisecond
)

// simulation is a service of several zones with shards of their own. The hosts of
// a home shard decide together.
type simulation struct {
	zones    []*simulatedShard
	links    map[core.AvailabilityZone]time.Duration
	rotation bool // asks the home shard, then the others in turn
	turn     int
	draw     uint64

	placed, refused, left, vain, both int
	wait                              time.Duration // sum over the placed requests
	leftAfter                         map[int]int   // left by tick
	// flow counts the requests of the last ticks by home and shard, taken all of them.
	flow, taken [4][4]int
}

type simulatedShard struct {
	zone    core.AvailabilityZone
	slots   int
	queued  float64
	decider *Decider
	// seen is what the hosts of this home know of the others, at seenAt.
	seen   map[int]Room
	seenAt map[int]int
	// deaf is set if the hosts of this home learn nothing new.
	deaf bool
}

func newSimulation(zones int) *simulation {
	s := &simulation{links: map[core.AvailabilityZone]time.Duration{}, leftAfter: map[int]int{}}
	for i := range zones {
		s.zones = append(s.zones, &simulatedShard{zone: core.AvailabilityZone(fmt.Sprint("z", i)), slots: shardSlots,
			decider: NewDecider(), seen: map[int]Room{}, seenAt: map[int]int{}})
		s.links[s.zones[i].zone] = time.Millisecond
	}
	return s
}

func (z *simulatedShard) room() Room {
	over := max(0, z.queued-float64(z.slots))
	return Room{Free: max(0, z.slots-int(z.queued)), Slots: z.slots,
		Wait: time.Duration(over / float64(max(1, z.slots)) * float64(runTicks*tick))}
}

func (z *simulatedShard) serve() {
	z.queued = max(0, z.queued-min(z.queued, float64(z.slots))/runTicks)
}

func (s *simulation) next() float64 {
	s.draw += 0x9e3779b97f4a7c15
	return math.Mod(float64(s.draw>>11)/(1<<53), 1)
}

// run plays the ticks with the number of requests that arrive in each zone.
func (s *simulation) run(ticks int, arrivals func(zone, tick int) float64) {
	carry := make([]float64, len(s.zones))
	for now := range ticks {
		if now%learnTicks == 0 {
			s.flow = [4][4]int{}
		}
		for home, z := range s.zones {
			if now%learnTicks == 0 && !z.deaf {
				for other, shard := range s.zones {
					z.seen[other], z.seenAt[other] = shard.room(), now
				}
			}
			for carry[home] += arrivals(home, now); carry[home] >= 1; carry[home]-- {
				s.place(home, now)
			}
		}
		for _, z := range s.zones {
			z.serve()
		}
		for a := range s.zones {
			for b := range a {
				s.both += min(s.flow[a][b], s.flow[b][a])
				if s.flow[a][b] > 0 && s.flow[b][a] > 0 {
					s.flow[a][b], s.flow[b][a] = 0, 0
				}
			}
		}
	}
}

func (s *simulation) place(home, now int) {
	asked := 0
	for _, step := range s.order(home, now) {
		if step.OnlyIfSilent {
			continue
		}
		asked++
		z := s.zones[step.Shard]
		room := z.room()
		if room.Wait > maxWait {
			continue
		}
		z.queued++
		s.placed++
		s.taken[home][step.Shard]++
		s.wait += room.Wait
		if step.Shard != home {
			s.left++
			s.leftAfter[now]++
			s.flow[home][step.Shard]++
			s.wait += s.links[z.zone]
		}
		return
	}
	s.refused++
	s.vain += asked - 1
}

func (s *simulation) order(home, now int) []Step {
	if s.rotation {
		s.turn++
		return []Step{{Shard: home}, {Shard: (home + 1 + s.turn%(len(s.zones)-1)) % len(s.zones)}}
	}
	z := s.zones[home]
	var shards []Shard
	for i, other := range s.zones {
		room, seen := z.seen[i], z.seenAt[i]
		if i == home {
			room, seen = other.room(), now
		}
		room.Age = time.Duration(now-seen) * tick
		shards = append(shards, Shard{Number: i, Zone: other.zone, Room: room})
	}
	req := Request{MaxWait: maxWait, Bytes: 4000, Draw: s.next()}
	return z.decider.Order(req, home, shards, s.links)
}

func (s *simulation) meanWait() time.Duration { return s.wait / time.Duration(max(1, s.placed)) }

// wave is demand whose peak passes through the zones one after the other. base is
// the mean in requests a tick.
func wave(base, swing float64, period int) func(zone, tick int) float64 {
	return func(zone, tick int) float64 {
		return base * (1 + swing*math.Sin(2*math.Pi*(float64(tick)/float64(period)-float64(zone)/4)))
	}
}
