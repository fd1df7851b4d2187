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
	// usualQuantile of the output lengths is what is expected of a request.
	usualQuantile = 0.5
	// shortQuantile of them is what decides whether a request can finish in
	// time at all.
	shortQuantile = 0.25
	// longQuantile of them is what a request will hardly exceed.
	longQuantile = 0.9
	// doubtFactor shortens a run time that was not learned lately, when it
	// decides whether a request can finish at all. Without it an endpoint
	// that was once slow would never be tried again.
	doubtFactor = 0.25
)

// survey fills d.candidates with what holds for all requests of a round.
func (d *Duty) survey(now time.Time) {
	d.candidates = d.candidates[:0]
	resting := 0
	for _, e := range d.fleet {
		if e.health.Ejected(now) {
			resting++
		}
	}
	excused := health.IgnoreEjections(resting, len(d.fleet))
	for _, e := range d.fleet {
		// An unproved version has its cap; a rest would only put its verdict
		// off.
		rests := e.health.Ejected(now) && !excused && !d.trials.Active(e.version)
		d.candidates = append(d.candidates, placement.Candidate{
			Endpoint:   e.Endpoint,
			Version:    e.version,
			Leaving:    d.leaving(e),
			NotReady:   !e.health.Reachable() || rests || !isReady(e),
			BadVersion: d.bad(e),
			NoTraffic:  d.noTraffic(e.version, now),
		})
		d.count(&d.candidates[len(d.candidates)-1], now)
	}
}

// count fills in the work that is on a candidate.
func (d *Duty) count(c *placement.Candidate, now time.Time) {
	name := c.Endpoint.Name
	c.Running = d.book.Running(name)
	c.Untracked = d.book.Untracked(name, now)
	c.OutstandingTokens = d.book.RemainingTokens(name)
	c.PendingPrefill = 0
	d.book.ForEach(name, func(a *outstanding.Attempt) {
		if a.OutputReceived == 0 {
			c.PendingPrefill = max(c.PendingPrefill, a.ExpectedFirstToken.Sub(now))
		}
	})
}

// suit fills in what holds for one request.
func (d *Duty) suit(r *message.GrantRequest, request *core.Request, now time.Time) {
	zone := d.zones[r.Host]
	lengths := d.expectLengths(request)
	for i := range d.candidates {
		c := &d.candidates[i]
		e := d.fleet[c.Endpoint.Name]
		c.CachedTokens = min(request.PromptTokens, e.cache.CachedTokens(request.PrefixBlocks))
		d.expectTimes(c, request, lengths, now)
		c.SameZone = c.Endpoint.AvailabilityZone == zone
		c.AtVersionShare = !d.shareAllows(c.Version, now)
		c.Preference = d.preference(c.Version, request.Route, now)
	}
}

// lengths are output lengths that a request may have.
type lengths struct{ short, usual, long int }

func (d *Duty) expectLengths(r *core.Request) lengths {
	return lengths{d.outputTokens(r, shortQuantile), d.outputTokens(r, usualQuantile), d.outputTokens(r, longQuantile)}
}

// expectTimes fills in how long a request would take on a candidate. A
// run-once request is not begun on the chance that its answer is short: if
// it is cut off at its deadline, its outcome is unknown for good.
func (d *Duty) expectTimes(c *placement.Candidate, request *core.Request, l lengths, now time.Time) {
	c.Prefill, c.RunTime = d.runTime(c, request, l.usual)
	_, c.MaxRunTime = d.runTime(c, request, l.long)
	_, c.MinRunTime = d.runTime(c, request, l.short)
	if request.Key != "" {
		c.MinRunTime = c.RunTime
	}
	if !d.speeds.Fresh(c.Endpoint, c.Version, now) {
		c.MinRunTime = time.Duration(doubtFactor * float64(c.MinRunTime))
	}
}

// runTime is the expected time of a request on a candidate from its start.
func (d *Duty) runTime(c *placement.Candidate, request *core.Request, output int) (prefill, total time.Duration) {
	if d.pool.Kind != core.KindModel {
		return 0, d.speeds.Service(c.Endpoint, c.Version)
	}
	prefill = d.speeds.Prefill(c.Endpoint, c.Version, request.PromptTokens-c.CachedTokens)
	return prefill, prefill + d.speeds.Decode(c.Endpoint, c.Version, c.Running+1, output)
}

// noTraffic tells whether a version may get no traffic at all for now.
func (d *Duty) noTraffic(v core.Version, now time.Time) bool {
	limit, capped := d.caps[v]
	return capped && limit.At(now) <= 0
}

// shareAllows tells whether a version may get one more attempt.
func (d *Duty) shareAllows(v core.Version, now time.Time) bool {
	limit, capped := d.caps[v]
	if !capped {
		return true
	}
	running, total := d.book.RunningOnVersion(v)
	return share.Allows(limit.At(now), d.recent.Traffic(v), share.Traffic{Version: running, Total: total})
}

// outputTokens is the output length that a fraction of the requests of the
// same route and account does not exceed.
func (d *Duty) outputTokens(r *core.Request, quantile float64) int {
	if d.pool.Kind != core.KindModel {
		return 0
	}
	guess := orDefault(d.routes[r.Route].OutputTokens, defaultOutputTokens)
	expected := d.lengths.Quantile(r.Route, r.Account, quantile, guess)
	if r.MaxOutputTokens > 0 {
		expected = min(expected, r.MaxOutputTokens)
	}
	return expected
}

// capacity is what the pool can do for one request, over the endpoints that
// it may be placed on.
type capacity struct {
	// best is the least time that the request takes on any endpoint, mean
	// the expected time over all.
	best, mean time.Duration
	slots      int
	// free is the time until a slot is free.
	free time.Duration
}

// measure returns the capacity for a request after suit; false if there is
// no endpoint for it.
func (d *Duty) measure(need *placement.Query) (capacity, bool) {
	var c capacity
	best, ok := placement.ShortestRunTime(d.candidates, need)
	if !ok {
		return c, false
	}
	c.best, c.free = best, time.Duration(1<<62)
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
		c.free = min(c.free, d.untilFree(candidate, need.Now))
	}
	c.mean = total / time.Duration(count)
	return c, true
}

// untilFree is the expected time until a candidate has a free slot.
func (d *Duty) untilFree(c *placement.Candidate, now time.Time) time.Duration {
	if c.Running+c.Untracked < c.Endpoint.Slots {
		return 0
	}
	first := time.Duration(1 << 62)
	d.book.ForEach(c.Endpoint.Name, func(a *outstanding.Attempt) {
		first = min(first, max(0, a.ExpectedFinish.Sub(now)))
	})
	if c.Running == 0 {
		return 0
	}
	return first
}

// start is the expected time until an item that would wait is placed.
func (c capacity) start(work time.Duration) time.Duration {
	return c.free + work/time.Duration(max(1, c.slots))
}
