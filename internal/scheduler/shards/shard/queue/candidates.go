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
	// typicalQuantile is the quantile of the output lengths that is taken as the
	// expected output length of a request.
	typicalQuantile = 0.5
	// shortQuantile is the quantile that decides whether a request can finish
	// in time at all.
	shortQuantile = 0.25
	// longQuantile is the quantile that a request is unlikely to exceed.
	longQuantile = 0.9
	// staleSpeedFactor scales down the minimum run time on endpoints without
	// recent speed samples. Otherwise an endpoint that was slow once would
	// never be tried again.
	staleSpeedFactor = 0.25
)

// buildCandidates fills d.candidates with the properties that are the same for
// all requests of a placement round.
func (d *Duty) buildCandidates(now time.Time) {
	d.candidates = d.candidates[:0]
	ejectedCount := 0
	for _, e := range d.endpoints {
		if e.health.Ejected(now) {
			ejectedCount++
		}
	}
	ignoreEjections := health.IgnoreEjections(ejectedCount, len(d.endpoints))
	for _, e := range d.endpoints {
		// Versions under trial are not ejected: their traffic is capped anyway,
		// and an ejection would only delay the verdict.
		ejected := e.health.Ejected(now) && !ignoreEjections && !d.trials.Active(e.version)
		d.candidates = append(d.candidates, placement.Candidate{
			Endpoint:   e.Endpoint,
			Version:    e.version,
			Draining:   d.isDraining(e),
			NotReady:   !e.health.Reachable() || ejected || !isReady(e),
			BadVersion: d.isBadVersion(e),
			NoTraffic:  d.isTrafficBlocked(e.version, now),
		})
		d.fillLoad(&d.candidates[len(d.candidates)-1], now)
	}
}

// fillLoad sets the current load of a candidate.
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

// fitToRequest sets the properties of the candidates that depend on the request.
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

// lengthEstimate holds estimates of the output length of a request, in tokens.
type lengthEstimate struct{ short, typical, long int }

func (d *Duty) estimateLengths(r *core.Request) lengthEstimate {
	return lengthEstimate{d.estimateOutputTokens(r, shortQuantile), d.estimateOutputTokens(r, typicalQuantile), d.estimateOutputTokens(r, longQuantile)}
}

// estimateTimes sets the estimated run times of a request on a candidate. A
// run-once request is not started in the hope of a short response: if it is cut
// off at its deadline, its outcome stays unknown.
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

// estimateRunTime returns the expected run time of a request on a candidate.
func (d *Duty) estimateRunTime(c *placement.Candidate, request *core.Request, output int) (prefill, total time.Duration) {
	if d.pool.Kind != core.KindModel {
		return 0, d.speeds.Service(c.Endpoint, c.Version)
	}
	prefill = d.speeds.Prefill(c.Endpoint, c.Version, request.PromptTokens-c.CachedTokens)
	firstToken := d.speeds.FirstToken(c.Endpoint, c.Version, request.PromptTokens-c.CachedTokens)
	return prefill, firstToken + d.speeds.Decode(c.Endpoint, c.Version, c.Running+1, output)
}

// isTrafficBlocked reports whether a version may currently get no traffic at
// all.
func (d *Duty) isTrafficBlocked(v core.Version, now time.Time) bool {
	limit, capped := d.trafficCaps[v]
	return capped && limit.At(now) <= 0
}

// isBelowShareCap reports whether a version may get one more attempt.
func (d *Duty) isBelowShareCap(v core.Version, now time.Time) bool {
	limit, capped := d.trafficCaps[v]
	if !capped {
		return true
	}
	running, total := d.attempts.RunningOnVersion(v)
	return share.Allows(limit.At(now), d.recentTraffic.Traffic(v), share.Traffic{Version: running, Total: total})
}

// estimateOutputTokens returns a quantile of the output lengths of requests with
// the same route and account.
func (d *Duty) estimateOutputTokens(r *core.Request, quantile float64) int {
	if d.pool.Kind != core.KindModel {
		return 0
	}
	initial := orDefault(d.routes[r.Route].OutputTokens, defaultOutputTokens)
	expected := d.outputLengths.Quantile(r.Route, r.Account, quantile, initial)
	if r.MaxOutputTokens > 0 {
		expected = min(expected, r.MaxOutputTokens)
	}
	return expected
}

// capacity summarizes the endpoints on which one request may be placed.
type capacity struct {
	// bestTime is the minimum run time of the request over all endpoints,
	// meanTime the mean of its expected run times.
	bestTime, meanTime time.Duration
	slots              int
	// timeToFreeSlot is the expected time until any endpoint has a free slot.
	timeToFreeSlot time.Duration
}

// measureCapacity returns the capacity for a request, or false if no endpoint is
// eligible for it. The candidates must have been fitted to the request.
func (d *Duty) measureCapacity(query *placement.Query) (capacity, bool) {
	var c capacity
	best, ok := placement.ShortestRunTime(d.candidates, query)
	if !ok {
		return c, false
	}
	c.bestTime, c.timeToFreeSlot = best, time.Duration(1<<62)
	var total time.Duration
	count := 0
	for i := range d.candidates {
		candidate := &d.candidates[i]
		if !placement.Eligible(candidate, query) {
			continue
		}
		count++
		total += candidate.RunTime
		c.slots += candidate.Endpoint.Slots
		c.timeToFreeSlot = min(c.timeToFreeSlot, d.timeToFreeSlot(candidate, query.Now))
	}
	c.meanTime = total / time.Duration(count)
	return c, true
}

// timeToFreeSlot returns the expected time until a candidate has a free slot.
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

// startDelay returns the expected time until an item is placed that waits behind
// the given slot time.
func (c capacity) startDelay(ahead time.Duration) time.Duration {
	return c.timeToFreeSlot + ahead/time.Duration(max(1, c.slots))
}
