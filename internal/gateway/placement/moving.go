package placement

import (
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/outstanding"
	"kingcupcourse/internal/decision/placement"
	"kingcupcourse/internal/decision/share"
	"kingcupcourse/internal/gateway/moves"
	"kingcupcourse/internal/ring"
)

// moving keeps the versions of services that are moved within their shares.
type moving struct {
	stages   *ring.Latest[map[string]moves.Stage]
	outcomes *ring.Ring[moves.Message]
	services map[string]*movingService
}

type movingService struct {
	moves.Stage
	recent *share.DispatchWindow
	// exposed is how many requests the target has had.
	exposed int
}

func newMoving(stages *ring.Latest[map[string]moves.Stage], outcomes *ring.Ring[moves.Message]) *moving {
	return &moving{stages: stages, outcomes: outcomes, services: map[string]*movingService{}}
}

// refresh takes over the newest stages.
func (m *moving) refresh() {
	stages, ok := m.stages.TryTake()
	if !ok {
		return
	}
	known := m.services
	m.services = make(map[string]*movingService, len(stages))
	for service, stage := range stages {
		s := known[service]
		if s == nil || s.Target != stage.Target {
			s = &movingService{recent: share.NewDispatchWindow()}
		}
		s.Stage = stage
		m.services[service] = s
	}
}

// bound marks the candidates that may get no request, or none now. Versions
// that are left behind serve as long as no endpoint of the target is there.
func (m *moving) bound(service string, candidates []placement.Candidate) {
	s := m.services[service]
	if s == nil {
		return
	}
	running, hasTarget := share.Traffic{}, false
	for i := range candidates {
		c := &candidates[i]
		running.Total += c.Running
		if c.Version == s.Target {
			running.Version += c.Running
			hasTarget = hasTarget || !c.Leaving
		}
	}
	reached := s.exposed >= s.FreeRequests && !share.Allows(s.MaxShare, s.recent.Traffic(s.Target), running)
	for i := range candidates {
		c := &candidates[i]
		target := c.Version == s.Target
		c.NoTraffic = (target && s.MaxShare <= 0) || (!target && s.Done && hasTarget)
		c.AtVersionShare = target && reached
		if target && !s.Done && 2*c.Running < c.Endpoint.Slots {
			// The version needs its share of requests to show how it is, also
			// where others are faster.
			c.Preference = placement.Preferred
		}
	}
}

// placed counts a request.
func (m *moving) placed(service string, version core.Version) {
	s := m.services[service]
	if s == nil {
		return
	}
	s.recent.Add(version)
	if version == s.Target {
		s.exposed++
	}
}

// ended hands on what an attempt shows of its version. An outcome that finds
// the ring full is lost as evidence; the ring's metrics count it.
func (m *moving) ended(e *endpoint, a *outstanding.Attempt, ask Request, u Update, eventTokens int) {
	if m.services[e.Service] == nil {
		return
	}
	o := moves.Outcome{Running: a.RunningAtPlacement + 1, Slots: e.Slots, IsModel: ask.PromptTokens > 0, Outcome: core.Outcome{
		Attempt: a.ID, Pool: e.Service, Route: ask.Route, Endpoint: e.Name, Version: e.Version, Result: u.Result,
		OutputTokens: u.Events * eventTokens, FirstTokenMS: u.FirstPartMS,
		BetweenTokensMS: u.betweenTokensMS(eventTokens), TotalMS: u.TotalMS,
	}}
	_ = m.outcomes.TryPut(o)
}
