package spill

import (
	"math"
	"slices"
	"time"

	"kingcupcourse/internal/core"
)

// choice is the decision on one request.
type choice struct {
	req    Request
	home   Shard
	others []Shard
	links  map[core.AvailabilityZone]time.Duration
}

// cost is what a shard costs the request in time, above what it costs at home
// without any wait.
func (c *choice) cost(s *Shard) time.Duration {
	cost := s.Room.Wait
	if s.Zone != c.home.Zone {
		cost += c.links[s.Zone] + time.Duration(timePerMB*float64(c.req.Bytes)/1e6*float64(time.Second))
	}
	return cost
}

// leave returns the shard to ask before the home shard, or nil if the request stays.
func (c *choice) leave() *Step {
	stop := stopShare * c.req.MaxWait.Seconds()
	share := min(1, (c.home.Room.Wait.Seconds()-stop)/(c.req.MaxWait.Seconds()-stop))
	if c.req.Draw >= share {
		return nil
	}
	draw := c.req.Draw / share // is uniform again
	if draw < exploredShare {
		if shard, ok := pick(c.others, draw/exploredShare, c.unknownWeight); ok {
			return &Step{Shard: shard.Number, Cause: CauseExplore}
		}
	}
	if shard, ok := pick(c.others, draw, c.takesWeight); ok {
		return &Step{Shard: shard.Number, Cause: CauseWait}
	}
	return nil
}

// takesWeight is the room that a shard has for requests of others, in slots. It is
// zero if leaving for it does not pay.
func (c *choice) takesWeight(s *Shard) float64 {
	if !s.known() || s.Room.Wait.Seconds() > stopShare*c.req.MaxWait.Seconds() || c.cost(s)+minGain >= c.home.Room.Wait {
		return 0
	}
	return max(0, float64(s.Room.Free)-reservedShare*float64(s.Room.Slots)) * s.freshness()
}

// roomWeight is the weight of a shard that may take the request in time.
func (c *choice) roomWeight(s *Shard) float64 {
	if !s.known() {
		return 0
	}
	gain := 1.0
	if c.req.MaxWait > 0 {
		gain = 1 - c.cost(s).Seconds()/(fullShare*c.req.MaxWait.Seconds())
	}
	if gain <= 0 {
		return 0
	}
	return (float64(s.Room.Free) + gain) * s.freshness()
}

func (c *choice) unknownWeight(s *Shard) float64 {
	if s.known() {
		return 0
	}
	return 1
}

func (c *choice) anyWeight(*Shard) float64 { return 1 }

// fallbacks adds the shards to ask after those of steps: those with room, then one
// of unknown room. If all are full, one is kept for the case that no coordinator
// answers.
func (c *choice) fallbacks(steps []Step) []Step {
	left := slices.DeleteFunc(slices.Clone(c.others), func(s Shard) bool {
		return slices.ContainsFunc(steps, func(step Step) bool { return step.Shard == s.Number })
	})
	add := func(step Step) {
		steps = append(steps, step)
		left = slices.DeleteFunc(left, func(s Shard) bool { return s.Number == step.Shard })
	}
	for _, weight := range []func(*Shard) float64{c.roomWeight, c.unknownWeight} {
		if len(steps) == maxSteps {
			return steps
		}
		if shard, ok := pick(left, c.redraw(len(steps)), weight); ok {
			add(Step{Shard: shard.Number, Cause: CauseRefused})
		}
	}
	if len(steps) == 1 {
		if shard, ok := pick(left, c.redraw(1), c.anyWeight); ok {
			add(Step{Shard: shard.Number, Cause: CauseSilent, OnlyIfSilent: true})
		}
	}
	return steps
}

// withoutHome returns the shards to ask for a request that may not go home.
func (c *choice) withoutHome() []Step {
	for _, weight := range []func(*Shard) float64{c.roomWeight, c.unknownWeight, c.anyWeight} {
		if shard, ok := pick(c.others, c.req.Draw, weight); ok {
			return c.fallbacks([]Step{{Shard: shard.Number, Cause: CauseClosed}})
		}
	}
	return nil
}

// redraw returns another draw for the same request.
func (c *choice) redraw(step int) float64 {
	_, fraction := math.Modf(c.req.Draw*7919 + float64(step)*math.Phi)
	return fraction
}

// pick returns one of the shards at random, by weight, false if all weights are 0.
func pick(shards []Shard, draw float64, weight func(*Shard) float64) (Shard, bool) {
	total := 0.0
	for i := range shards {
		total += weight(&shards[i])
	}
	if total <= 0 {
		return Shard{}, false
	}
	at, last := draw*total, -1
	for i := range shards {
		w := weight(&shards[i])
		if w <= 0 {
			continue
		}
		if last = i; at < w {
			break
		}
		at -= w
	}
	return shards[last], true
}
