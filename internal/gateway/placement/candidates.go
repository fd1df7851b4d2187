package placement

import (
	"time"

	"kingcupcourse/internal/decision/engine"
	"kingcupcourse/internal/decision/health"
	"kingcupcourse/internal/decision/outstanding"
	"kingcupcourse/internal/decision/placement"
)

// candidates lists the endpoints of the service with what is on each.
func (d *Duty) candidates(ask Request, now time.Time) []placement.Candidate {
	all := d.services[ask.Service]
	resting := 0
	for _, e := range all {
		if e.health.Ejected(now) {
			resting++
		}
	}
	excuse := health.IgnoreEjections(resting, len(all))
	candidates := make([]placement.Candidate, 0, len(all))
	for _, e := range all {
		c := placement.Candidate{
			Endpoint: e.Endpoint.Endpoint, Version: e.Version, Leaving: e.Draining,
			NotReady: !excuse && e.health.Ejected(now), SameZone: e.AvailabilityZone == d.host.AvailabilityZone,
		}
		d.count(&c, e, ask, now)
		candidates = append(candidates, c)
	}
	if ask.PromptTokens == 0 {
		d.tryUnknown(candidates, now)
	}
	d.moving.bound(ask.Service, candidates)
	return candidates
}

// tryUnknown takes plain services whose speed is not known for as fast as the
// fastest, so that a new one, or one that was slow once, is tried.
func (d *Duty) tryUnknown(candidates []placement.Candidate, now time.Time) {
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

// count fills in the work on a candidate, and how long the request would take
// there.
func (d *Duty) count(c *placement.Candidate, e *endpoint, ask Request, now time.Time) {
	name := c.Endpoint.Name
	c.Running = d.book.Running(name)
	if ask.PromptTokens == 0 {
		c.RunTime = d.speeds.Service(c.Endpoint, c.Version)
		return
	}
	wait := engine.Predict(d.jobs(c), c.Endpoint.Slots, now)
	c.PendingPrefill = wait.Wait()
	c.Prefill = d.prefill(e, ask)
	c.RunTime = c.Prefill + d.speeds.Decode(c.Endpoint, c.Version, c.Running+1, ask.OutputTokens)
	c.MaxRunTime = c.Prefill + d.speeds.Decode(c.Endpoint, c.Version, c.Running+1, ask.sureOutput())
}

// jobs lists what runs on a candidate.
func (d *Duty) jobs(c *placement.Candidate) []engine.Job {
	d.scratch = d.scratch[:0]
	d.book.ForEach(c.Endpoint.Name, func(a *outstanding.Attempt) {
		d.scratch = append(d.scratch, engine.Job{
			Prefill:            d.speeds.Prefill(c.Endpoint, c.Version, a.PrefillTokens),
			Decode:             d.speeds.Decode(c.Endpoint, c.Version, c.Running, a.ExpectedOutputTokens),
			ExpectedFirstToken: a.ExpectedFirstToken, FirstTokenAt: a.FirstTokenAt,
		})
	})
	return d.scratch
}

func (d *Duty) prefill(e *endpoint, ask Request) time.Duration {
	return d.speeds.Prefill(e.Endpoint.Endpoint, e.Version, ask.PromptTokens)
}
