// Package spill decides which shards of a service a host asks for an endpoint, and
// when leaving the host's own availability zone pays.
//
// The load that it answers is demand that peaks in one zone after the other, where
// each zone has enough endpoints for its mean but not for its peak: asking the
// other shards in turn meets shards that are full as often as idle ones, and sends
// requests to other zones while there is room at home. A request leaves only if
// the forecast wait at home is longer than the wait elsewhere, the time of the link
// and the cost of its bytes together. The share that leaves grows with the wait at
// home and is divided by the room of the shards that take it.
//
// A shard takes load only while its own wait is below the one at which it would
// send some, so that two shards never send each other the same load. Room counts
// for less as it ages.
package spill

import (
	"time"

	"kingcupcourse/internal/core"
)

const (
	// MaxAge is the age from which a shard's room counts as unknown.
	MaxAge = time.Second
	// startShare and stopShare are the shares of a request's longest wait at which
	// a shard begins to send requests elsewhere, and ends it.
	startShare, stopShare = 0.3, 0.1
	// fullShare is the share of a request's longest wait at which a shard counts as
	// full for the requests of others. Under overload the wait stays just below the
	// longest one.
	fullShare = 0.8
	// reservedShare is the share of its slots that a shard keeps for the requests
	// of its own hosts.
	reservedShare = 0.1
	// minGain is the least gain in time for which a request leaves its home shard.
	minGain = 5 * time.Millisecond
	// timePerMB is the wait that one megabyte between zones is worth, in seconds.
	timePerMB = 0.5
	// exploredShare is the share of the leaving requests that go to a shard of
	// unknown room, so that it becomes known.
	exploredShare = 0.1
	// maxSteps is how many shards are asked for one request.
	maxSteps = 3
	// maxKept bounds the limits of waits whose state is kept.
	maxKept = 64
)

// Room is the room of a shard as its coordinator counted it.
type Room struct {
	// Free is the number of free slots of Slots.
	Free, Slots int
	// Wait is the shortest forecast wait before the prefill of a new request.
	Wait time.Duration
	// Age is the time since the count. Room of MaxAge or more is unknown.
	Age time.Duration
}

// Shard is a shard of the service.
type Shard struct {
	Number int
	// Zone is empty for a shard of more than one zone.
	Zone core.AvailabilityZone
	Room Room
}

func (s *Shard) known() bool { return s.Room.Slots > 0 && s.Room.Age < MaxAge }

// freshness is 1 for room counted just now, falling to 0 at MaxAge.
func (s *Shard) freshness() float64 { return max(0, 1-s.Room.Age.Seconds()/MaxAge.Seconds()) }

// Request is a request to be placed.
type Request struct {
	// MaxWait is the wait above which a coordinator refuses the request, zero if
	// it never does. It follows from the tier and the objective.
	MaxWait time.Duration
	// Bytes is the size of the request and of its expected answer together.
	Bytes int
	// Draw is uniformly distributed over [0, 1), and unlike for each request.
	Draw float64
}

// Cause is why a shard other than the home shard is asked.
type Cause string

// Causes.
const (
	// CauseNone marks the home shard.
	CauseNone Cause = ""
	// CauseWait means that the wait at home is longer.
	CauseWait Cause = "home_wait"
	// CauseExplore means that the wait at home is long and the room elsewhere
	// unknown.
	CauseExplore Cause = "explore"
	// CauseRefused means that the shards asked before have no room.
	CauseRefused Cause = "home_full"
	// CauseClosed means that the home shard is closed to the request.
	CauseClosed Cause = "home_closed"
	// CauseSilent means that the coordinators of the shards asked before did not
	// answer.
	CauseSilent Cause = "home_silent"
)

// Step is a shard to ask.
type Step struct {
	Shard int
	Cause Cause
	// OnlyIfSilent marks a shard without room, which is asked only if none of the
	// coordinators before it answered.
	OnlyIfSilent bool
}

// Decider decides for the hosts of one home shard. Its state is whether
// requests leave at present, by how long they may wait.
type Decider struct{ leaving map[time.Duration]bool }

// NewDecider returns a decider by which no request leaves yet.
func NewDecider() *Decider { return &Decider{leaving: map[time.Duration]bool{}} }

// Order returns the shards to ask for a request, in this order, at most three. The
// home shard is always among them unless shards lacks it, as its zone is closed to
// the request. links is the time that a call to a zone takes in
// addition to one within the home zone.
func (d *Decider) Order(req Request, home int, shards []Shard, links map[core.AvailabilityZone]time.Duration) []Step {
	c, open := choice{req: req, links: links, home: Shard{Number: home}}, false
	for _, shard := range shards {
		if shard.Number == home {
			c.home, open = shard, true
		} else {
			c.others = append(c.others, shard)
		}
	}
	if !open {
		return c.withoutHome()
	}
	if d.leaves(req, &c.home) {
		if first := c.leave(); first != nil {
			steps := []Step{*first, {Shard: home}}
			return c.fallbacks(steps)
		}
	}
	return c.fallbacks([]Step{{Shard: home}})
}

// leaves updates and returns whether requests that may wait as long as
// this one leave at present.
func (d *Decider) leaves(req Request, home *Shard) bool {
	switch wait := home.Room.Wait.Seconds(); {
	case req.MaxWait <= 0 || !home.known():
		delete(d.leaving, req.MaxWait)
	case wait >= startShare*req.MaxWait.Seconds() && len(d.leaving) < maxKept:
		d.leaving[req.MaxWait] = true
	case wait <= stopShare*req.MaxWait.Seconds():
		delete(d.leaving, req.MaxWait)
	}
	return d.leaving[req.MaxWait]
}
