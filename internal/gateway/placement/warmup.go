package placement

import (
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/decision/fleet"
	"kingcupcourse/internal/decision/warmup"
	"kingcupcourse/internal/ring"
)

// ColdTolerance is the operator's tolerance for requests to cold endpoints. The
// zero value means that they are not limited.
type ColdTolerance struct {
	// Overage is the factor on a service's rate, Slack the additional requests in
	// any second.
	Overage, Slack float64
}

// warmupGate keeps requests from cold endpoints. Only the first coordinator of an
// endpoint sends requests there, and counts them. A host that stands in for it or
// that places a request alone sends none.
type warmupGate struct {
	limiter     *warmup.Limiter
	tolerance   ColdTolerance
	listedHosts *ring.Latest[*fleet.Ring]
	// hostsListed reports that the store's list of hosts has been read. Before
	// that the host takes itself for the only one.
	hostsListed bool
	// listed reports that a list of endpoints has been applied.
	listed bool
	// services are the services of the listed endpoints that have a cold rate.
	services map[string]string
	states   map[string]warmup.State // as last reported
	// granted counts the requests placed on endpoints that are not warm, and held
	// those kept from an endpoint, by reason, since the last report. usedCold and
	// passedOver are these endpoints.
	granted              int
	held                 map[string]int
	usedCold, passedOver map[string]bool
	log                  *zap.Logger
}

func newWarmupGate(tolerance ColdTolerance, listedHosts *ring.Latest[*fleet.Ring], log *zap.Logger) *warmupGate {
	return &warmupGate{limiter: warmup.New(), tolerance: tolerance, listedHosts: listedHosts, services: map[string]string{},
		states: map[string]warmup.State{}, held: map[string]int{}, usedCold: map[string]bool{}, passedOver: map[string]bool{}, log: log}
}

// setEntries applies the endpoints of a snapshot.
func (g *warmupGate) setEntries(snapshot *catalog.Snapshot, now time.Time) {
	if g.tolerance.Overage <= 0 || snapshot.Configuration == nil {
		return
	}
	entries := make(map[string]warmup.Entry)
	clear(g.services)
	for _, e := range snapshot.Endpoints {
		service := snapshot.Configuration.Services[e.Service]
		rate := warmup.Rate{PerSecond: service.ColdRate, Overage: g.tolerance.Overage, Slack: g.tolerance.Slack, ColdFor: service.ColdTime}
		entries[e.Name] = warmup.Entry{StartedUnixMS: e.StartedAt.UnixMilli(), ColdUntil: e.ColdUntil, Rate: rate}
		if rate.Enabled() {
			g.services[e.Name] = e.Service
		}
	}
	g.limiter.SetEntries(entries, g.listed, now)
	g.listed = g.listed || snapshot.EndpointsKnown
	g.logStates(now)
}

// updateOwners determines the endpoints of which this host is the first
// coordinator.
func (d *Duty) updateOwners(now time.Time) {
	g := d.warmup
	if g.listedHosts != nil {
		if _, ok := g.listedHosts.TryTake(); ok {
			g.hostsListed = true
		}
	}
	for name, service := range g.services {
		g.limiter.SetOwner(name, g.hostsListed && d.directory.owns(service, name), now)
	}
}

// Reasons to keep a request from an endpoint.
const (
	// heldAtRate: the endpoint has all the requests that it may have at present.
	heldAtRate = "rate"
	// heldNotOwner: this host stands in for the first coordinator of the endpoint,
	// or has only just become it.
	heldNotOwner = "not_owner"
	// heldAlone: this host places the request without a coordinator.
	heldAlone = "alone"
	// heldOtherView: this host takes the endpoint for cold, the coordinator did not.
	heldOtherView = "other_view"
)

// holdsBack reports whether a request of a shard must not be placed on the
// endpoint at present.
func (g *warmupGate) holdsBack(name string, shard int, now time.Time) bool {
	if g.services[name] == "" {
		return false
	}
	switch state, _ := g.limiter.StateOf(name, now); {
	case state == warmup.Warm || (shard == 0 && !state.Restricted()):
		return false
	case shard == 0:
		g.hold(name, heldAlone)
		return true
	}
	limit, _ := g.limiter.Limit(name, now)
	switch {
	case limit == 0:
		g.hold(name, heldNotOwner)
	case !g.limiter.Allows(name, now):
		g.hold(name, heldAtRate)
	default:
		return false
	}
	return true
}

// hold counts that a request was kept from an endpoint.
func (g *warmupGate) hold(name, reason string) {
	g.held[reason]++
	g.passedOver[name] = true
	coldHeldTotal.WithLabelValues(reason).Inc()
}

// grant counts a request that is placed on the endpoint, and reports whether the
// endpoint is cold or may be.
func (g *warmupGate) grant(name string, now time.Time) (cold bool) {
	if g.services[name] == "" {
		return false
	}
	state, _ := g.limiter.StateOf(name, now)
	g.limiter.Grant(name, now)
	if state != warmup.Warm {
		g.granted++
		g.usedCold[name] = true
		coldGrantedTotal.WithLabelValues(state.String()).Inc()
	}
	return state.Restricted()
}

// refuses reports whether this host takes the endpoint for cold and the request
// was placed there by a host that did not.
func (g *warmupGate) refuses(name string, coldGrant bool, now time.Time) bool {
	state, _ := g.limiter.StateOf(name, now)
	if coldGrant || !state.Restricted() {
		return false
	}
	g.hold(name, heldOtherView)
	return true
}

func (g *warmupGate) saidCold(e catalog.Endpoint, left time.Duration, now time.Time) {
	if left > 0 {
		g.limiter.SaidCold(e.Name, left, now)
		g.logStates(now)
	}
}

func (g *warmupGate) failed(name string, now time.Time) { g.limiter.Failed(name, now) }

func (g *warmupGate) succeeded(name string, granted, now time.Time) {
	g.limiter.Succeeded(name, granted, now)
}

// failedByCoordinator returns the endpoints that may be cold after a failure, by the
// address of their coordinator, without those that this host coordinates.
func (d *Duty) failedByCoordinator(now time.Time) map[string][]FailedEndpoint {
	failed := map[string][]FailedEndpoint{}
	for _, failure := range d.warmup.limiter.Failures(now) {
		if address := d.directory.coordinatorOf(d.warmup.services[failure.Endpoint], failure.Endpoint, now); address != "" {
			failed[address] = append(failed[address], FailedEndpoint{failure.Endpoint, failure.Ago.Milliseconds()})
		}
	}
	return failed
}

// told applies the failures that another host lists.
func (g *warmupGate) told(failed []FailedEndpoint, now time.Time) {
	for _, f := range failed {
		ago := time.Duration(min(max(0, f.AgoMS), warmup.MaxCold.Milliseconds())) * time.Millisecond
		g.limiter.Told(warmup.Failure{Endpoint: f.Endpoint, Ago: ago}, now)
	}
}

// report logs the changes of states since the last second, and what was granted
// and held back.
func (g *warmupGate) report(now time.Time) {
	g.logStates(now)
	if g.granted > 0 || len(g.held) > 0 {
		g.log.Info("requests to cold endpoints", zap.Int("granted", g.granted), zap.Int("endpoints", len(g.usedCold)),
			zap.Any("held_back", g.held), zap.Int("passed_over", len(g.passedOver)))
	}
	g.granted = 0
	clear(g.held)
	clear(g.usedCold)
	clear(g.passedOver)
}

// logStates logs the endpoints that became cold or warm.
func (g *warmupGate) logStates(now time.Time) {
	restricted := 0
	for name, service := range g.services {
		state, until := g.limiter.StateOf(name, now)
		known := g.states[name]
		if g.states[name] = state; state.Restricted() {
			restricted++
		}
		switch {
		case state == known:
		case state.Restricted():
			limit, _ := g.limiter.Limit(name, now)
			g.log.Info("endpoint is cold", zap.String("endpoint", name), zap.String("service", service), zap.String("state", state.String()),
				zap.Duration("left", until.Sub(now)), zap.Int("limit", limit), zap.Duration("window", warmup.Window))
		case known.Restricted():
			g.log.Info("endpoint is warm again", zap.String("endpoint", name), zap.String("service", service))
		}
	}
	for name := range g.states {
		if g.services[name] == "" {
			delete(g.states, name)
		}
	}
	coldEndpoints.Set(float64(restricted))
}
