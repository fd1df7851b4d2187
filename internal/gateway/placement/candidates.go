package placement

import (
	"slices"
	"time"

	"kingcupcourse/internal/decision/engine"
	"kingcupcourse/internal/decision/health"
	"kingcupcourse/internal/decision/outstanding"
	"kingcupcourse/internal/decision/placement"
)

// candidates returns the endpoints of the service's shard with their load and
// predicted times.
func (d *Duty) candidates(req Request, now time.Time) []placement.Candidate {
	all := d.services[req.Service]
	ejected, usable := 0, 0
	for _, e := range all {
		if !d.isOpen(e, req) {
			continue
		}
		usable++
		if e.health.Ejected(now) {
			ejected++
		}
	}
	ignoreEjections := health.IgnoreEjections(ejected, usable)
	candidates := make([]placement.Candidate, 0, len(all))
	for _, e := range all {
		if !d.directory.inShard(req.Service, e.Endpoint.Name, req.Shard) {
			continue
		}
		c := placement.Candidate{
			Endpoint: e.Endpoint.Endpoint, Version: e.Version, Draining: d.isDraining(e),
			NotReady: !ignoreEjections && e.health.Ejected(now), SameZone: e.AvailabilityZone == d.host.AvailabilityZone,
			Evacuated: d.isEvacuated(e, req), RegionNotAllowed: !d.isRegionAllowed(e, req),
		}
		c.AtColdRate = d.warmup.holdsBack(e.Endpoint.Name, req.Shard, now)
		d.predictTimes(&c, e, req, now)
		candidates = append(candidates, c)
	}
	if req.PromptTokens == 0 {
		d.assumeFastest(candidates, now)
	}
	d.applyTrafficLimits(req, candidates)
	return candidates
}

// applyTrafficLimits applies the limits of the service's move. They are divided
// among the coordinators of its shards; a host that places a request alone, which
// it may do beside the coordinators, gets no part of them.
func (d *Duty) applyTrafficLimits(req Request, candidates []placement.Candidate) {
	limits := d.traffic.services[req.Service]
	if limits == nil {
		return
	}
	targetListed := slices.ContainsFunc(d.services[req.Service], func(e *endpoint) bool {
		return e.Version == limits.Target && !d.isDraining(e)
	})
	limits.apply(candidates, targetListed, d.directory.shardCount(req.Service), req.Shard == 0)
}

// assumeFastest assumes that plain services of unknown speed are as fast as the
// fastest one, so that a new endpoint, or one that was slow once, is tried.
func (d *Duty) assumeFastest(candidates []placement.Candidate, now time.Time) {
	best := time.Duration(0)
	for i := range candidates {
		c := &candidates[i]
		if d.speeds.Fresh(c.Endpoint, c.Version, now) && (best == 0 || c.RunTime < best) {
			best = c.RunTime
		}
	}
	for i := range candidates {
		c := &candidates[i]
		if best > 0 && !d.speeds.Fresh(c.Endpoint, c.Version, now) {
			c.RunTime = best
		}
	}
}

// predictTimes sets the load of a candidate and the predicted times of the
// request there.
func (d *Duty) predictTimes(c *placement.Candidate, e *endpoint, req Request, now time.Time) {
	name := c.Endpoint.Name
	c.Running = d.attempts.Running(name)
	if req.PromptTokens == 0 {
		c.RunTime = d.speeds.Service(c.Endpoint, c.Version)
		return
	}
	prediction := engine.Predict(d.runningJobs(c), c.Endpoint.Slots, now)
	c.PendingPrefill = prediction.Wait()
	c.Prefill = d.prefillTime(e, req)
	c.FirstToken = d.speeds.FirstToken(c.Endpoint, c.Version, req.PromptTokens)
	c.RunTime = c.FirstToken + d.speeds.Decode(c.Endpoint, c.Version, c.Running+1, req.OutputTokens)
	c.MaxRunTime = c.FirstToken + d.speeds.Decode(c.Endpoint, c.Version, c.Running+1, req.conservativeOutput())
}

// runningJobs returns the jobs that run on a candidate.
func (d *Duty) runningJobs(c *placement.Candidate) []engine.Job {
	d.jobBuffer = d.jobBuffer[:0]
	d.attempts.ForEach(c.Endpoint.Name, func(a *outstanding.Attempt) {
		d.jobBuffer = append(d.jobBuffer, engine.Job{
			Prefill:            d.speeds.Prefill(c.Endpoint, c.Version, a.PrefillTokens),
			Decode:             d.speeds.Decode(c.Endpoint, c.Version, c.Running, a.ExpectedOutputTokens),
			ExpectedFirstToken: a.ExpectedFirstToken, FirstTokenAt: a.FirstTokenAt,
		})
	})
	return d.jobBuffer
}

func (d *Duty) prefillTime(e *endpoint, req Request) time.Duration {
	return d.speeds.Prefill(e.Endpoint.Endpoint, e.Version, req.PromptTokens)
}
