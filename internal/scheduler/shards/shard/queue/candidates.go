package queue

import (
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/health"
	"kingcupcourse/internal/decision/outstanding"
	"kingcupcourse/internal/decision/placement"
	"kingcupcourse/internal/decision/share"
	"kingcupcourse/internal/message"
)

const (
	// typicalQuantile of the output lengths is what is expected of a request.
	typicalQuantile = 0.5
	// shortQuantile of them is what decides whether a request can finish in
	// time at all.
	shortQuantile = 0.25
	// longQuantile of them is what a request will hardly exceed.
	longQuantile = 0.9
	// staleSpeedFactor shortens a run time that was not learned lately, when it
	// decides whether a request can finish at all. Without it an endpoint
	// that was once slow would never be tried again.
	staleSpeedFactor = 0.25
)

// buildCandidates fills d.candidates with what holds for all requests of a round.
func (d *Duty) buildCandidates(now time.Time) {
	d.candidates = d.candidates[:0]
	resting := 0
	for _, e := range d.endpoints {
		if e.health.Ejected(now) {
			resting++
		}
	}
	excused := health.IgnoreEjections(resting, len(d.endpoints))
	for _, e := range d.endpoints {
		// An unproved version has its cap; a rest would only put its verdict
		// off.
		rests := e.health.Ejected(now) && !excused && !d.trials.Active(e.version)
		d.candidates = append(d.candidates, placement.Candidate{
			Endpoint:   e.Endpoint,
			Version:    e.version,
			Leaving:    d.isLeaving(e),
			NotReady:   !e.health.Reachable() || rests || !isReady(e),
			BadVersion: d.isBadVersion(e),
			NoTraffic:  d.isTrafficBlocked(e.version, now),
		})
		d.fillLoad(&d.candidates[len(d.candidates)-1], now)
	}
}

// fillLoad fills in the work that is on a candidate.
func (d *Duty) fillLoad(c *placement.Candidate, now time.Time) {
	name := c.Endpoint.Name
	c.Running = d.attempts.Running(name)
	c.Untracked = d.attempts.Untracked(name, now)
	c.OutstandingTokens = d.attempts.RemainingTokens(name)
	c.PendingPrefill = 0
	d.attempts.ForEach(name, func(a *outstanding.Attempt) {
		if a.OutputReceived == 0 {
			c.PendingPrefill = max(c.PendingPrefill, a.ExpectedFirstToken.Sub(now))
		}
	})
}

// fitToRequest fills in what holds for one request.
func (d *Duty) fitToRequest(r *message.GrantRequest, request *core.Request, now time.Time) {
	zone := d.hostZones[r.Host]
	lengths := d.estimateLengths(request)
	for i := range d.candidates {
		c := &d.candidates[i]
		e := d.endpoints[c.Endpoint.Name]
		c.CachedTokens = min(request.PromptTokens, e.cache.CachedTokens(request.PrefixBlocks))
		d.estimateTimes(c, request, lengths, now)
		c.SameZone = c.Endpoint.AvailabilityZone == zone
		c.AtVersionShare = !d.isBelowShareCap(c.Version, now)
		c.Preference = d.preference(c.Version, request.Route, now)
	}
}

// lengthEstimate are output lengthEstimate that a request may have.
type lengthEstimate struct{ short, typical, long int }

func (d *Duty) estimateLengths(r *core.Request) lengthEstimate {
	return lengthEstimate{d.estimateOutputTokens(r, shortQuantile), d.estimateOutputTokens(r, typicalQuantile), d.estimateOutputTokens(r, longQuantile)}
}

// estimateTimes fills in how long a request would take on a candidate. A
// run-once request is not begun on the chance that its answer is short: if
// it is cut off at its deadline, its outcome is unknown for good.
func (d *Duty) estimateTimes(c *placement.Candidate, request *core.Request, l lengthEstimate, now time.Time) {
	c.Prefill, c.RunTime = d.estimateRunTime(c, request, l.typical)
	_, c.MaxRunTime = d.estimateRunTime(c, request, l.long)
	_, c.MinRunTime = d.estimateRunTime(c, request, l.short)
	if request.Key != "" {
		c.MinRunTime = c.RunTime
	}
	if !d.speeds.Fresh(c.Endpoint, c.Version, now) {
		c.MinRunTime = time.Duration(staleSpeedFactor * float64(c.MinRunTime))
	}
}

// estimateRunTime is the expected time of a request on a candidate from its start.
func (d *Duty) estimateRunTime(c *placement.Candidate, request *core.Request, output int) (prefill, total time.Duration) {
	if d.pool.Kind != core.KindModel {
		return 0, d.speeds.Service(c.Endpoint, c.Version)
	}
	prefill = d.speeds.Prefill(c.Endpoint, c.Version, request.PromptTokens-c.CachedTokens)
	return prefill, prefill + d.speeds.Decode(c.Endpoint, c.Version, c.Running+1, output)
}

// isTrafficBlocked tells whether a version may get no traffic at all for now.
func (d *Duty) isTrafficBlocked(v core.Version, now time.Time) bool {
	limit, capped := d.trafficCaps[v]
	return capped && limit.At(now) <= 0
}

// isBelowShareCap tells whether a version may get one more attempt.
func (d *Duty) isBelowShareCap(v core.Version, now time.Time) bool {
	limit, capped := d.trafficCaps[v]
	if !capped {
		return true
	}
	running, total := d.attempts.RunningOnVersion(v)
	return share.Allows(limit.At(now), d.recentTraffic.Traffic(v), share.Traffic{Version: running, Total: total})
}

// estimateOutputTokens is the output length that a fraction of the requests of the
// same route and account does not exceed.
func (d *Duty) estimateOutputTokens(r *core.Request, quantile float64) int {
	if d.pool.Kind != core.KindModel {
		return 0
	}
	guess := orDefault(d.routes[r.Route].OutputTokens, defaultOutputTokens)
	expected := d.outputLengths.Quantile(r.Route, r.Account, quantile, guess)
	if r.MaxOutputTokens > 0 {
		expected = min(expected, r.MaxOutputTokens)
	}
	return expected
}

// capacity is what the pool can do for one request, over the endpoints that
// it may be placed on.
type capacity struct {
	// bestTime is the least time that the request takes on any endpoint, meanTime
	// the expected time over all.
	bestTime, meanTime time.Duration
	slots              int
	// timeToFreeSlot is the time until a slot is timeToFreeSlot.
	timeToFreeSlot time.Duration
}

// measureCapacity returns the capacity for a request after suit; false if there is
// no endpoint for it.
func (d *Duty) measureCapacity(need *placement.Query) (capacity, bool) {
	var c capacity
	best, ok := placement.ShortestRunTime(d.candidates, need)
	if !ok {
		return c, false
	}
	c.bestTime, c.timeToFreeSlot = best, time.Duration(1<<62)
	var total time.Duration
	count := 0
	for i := range d.candidates {
		candidate := &d.candidates[i]
		if !placement.Eligible(candidate, need) {
			continue
		}
		count++
		total += candidate.RunTime
		c.slots += candidate.Endpoint.Slots
		c.timeToFreeSlot = min(c.timeToFreeSlot, d.timeToFreeSlot(candidate, need.Now))
	}
	c.meanTime = total / time.Duration(count)
	return c, true
}

// timeToFreeSlot is the expected time until a candidate has a free slot.
func (d *Duty) timeToFreeSlot(c *placement.Candidate, now time.Time) time.Duration {
	if c.Running+c.Untracked < c.Endpoint.Slots {
		return 0
	}
	first := time.Duration(1 << 62)
	d.attempts.ForEach(c.Endpoint.Name, func(a *outstanding.Attempt) {
		first = min(first, max(0, a.ExpectedFinish.Sub(now)))
	})
	if c.Running == 0 {
		return 0
	}
	return first
}

// startDelay is the expected time until an item that would wait is placed.
func (c capacity) startDelay(work time.Duration) time.Duration {
	return c.timeToFreeSlot + work/time.Duration(max(1, c.slots))
}
