package placement

import (
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/outstanding"
	"kingcupcourse/internal/decision/placement"
	"kingcupcourse/internal/decision/share"
	"kingcupcourse/internal/gateway/moves"
	"kingcupcourse/internal/ring"
)

// trafficLimits enforces the traffic shares of versions while services are moved.
type trafficLimits struct {
	constraints moves.Subscription
	outcomes    *ring.Ring[moves.Message]
	services    map[string]*serviceTraffic
}

type serviceTraffic struct {
	moves.Constraints
	recent *share.DispatchWindow
	// targetRequests is the number of requests placed on the target.
	targetRequests int
}

func newTrafficLimits(constraints moves.Subscription, outcomes *ring.Ring[moves.Message]) *trafficLimits {
	return &trafficLimits{constraints: constraints, outcomes: outcomes, services: map[string]*serviceTraffic{}}
}

// refresh applies the latest placement constraints of the moves.
func (t *trafficLimits) refresh() {
	latest, ok := t.constraints.TryTake()
	if !ok {
		return
	}
	known := t.services
	t.services = make(map[string]*serviceTraffic, len(latest))
	for service, constraints := range latest {
		s := known[service]
		if s == nil || s.Target != constraints.Target {
			s = &serviceTraffic{recent: share.NewDispatchWindow()}
		}
		s.Constraints = constraints
		t.services[service] = s
	}
}

// apply marks the candidates that may get no request, or none at present. The
// free requests are divided among the service's shards. The old versions keep
// serving while the target is not listed. A host that chooses alone places nothing
// on the target before the move is done.
func (s *serviceTraffic) apply(candidates []placement.Candidate, targetListed bool, shards int, alone bool) {
	running := share.Traffic{}
	for i := range candidates {
		c := &candidates[i]
		running.Total += c.Running
		if c.Version == s.Target {
			running.Version += c.Running
		}
	}
	shareReached := s.targetRequests >= s.FreeRequests/shards && !share.Allows(s.MaxShare, s.recent.Traffic(s.Target), running)
	for i := range candidates {
		c := &candidates[i]
		isTarget := c.Version == s.Target
		c.NoTraffic = (isTarget && (s.MaxShare <= 0 || (alone && !s.Done))) || (!isTarget && s.Done && targetListed)
		c.AtVersionShare = isTarget && shareReached
		if isTarget && !s.Done && 2*c.Running < c.Endpoint.Slots {
			// The target needs its share of requests as evidence, even if
			// other endpoints are faster.
			c.Preference = placement.Preferred
		}
	}
}

// recordPlaced records that a request was placed on a version.
func (t *trafficLimits) recordPlaced(service string, version core.Version) {
	s := t.services[service]
	if s == nil {
		return
	}
	s.recent.Add(version)
	if version == s.Target {
		s.targetRequests++
	}
}

// reportOutcome sends an attempt's outcome to the moves duty as evidence about
// its version. An outcome that finds the ring full is lost as evidence; the
// ring's metrics count it.
func (t *trafficLimits) reportOutcome(e *endpoint, a *outstanding.Attempt, req Request, u Update, tokensPerEvent int) {
	if t.services[e.Service] == nil {
		return
	}
	o := moves.Outcome{Running: a.RunningAtPlacement + 1, Slots: e.Slots, IsModel: req.PromptTokens > 0, Outcome: core.Outcome{
		Attempt: a.ID, Pool: e.Service, Route: req.Route, Endpoint: e.Name, Version: e.Version, Result: u.Result,
		OutputTokens: u.Events * tokensPerEvent, FirstTokenMS: u.FirstPartMS,
		BetweenTokensMS: u.betweenTokensMS(tokensPerEvent), TotalMS: u.TotalMS,
	}}
	_ = t.outcomes.TryPut(o)
}
