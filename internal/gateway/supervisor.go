// Package gateway implements the request path of a host whose callers and
// endpoints speak plain HTTP: it admits a request, places it on an endpoint and
// relays the response. The wire format is left to an adapter.
package gateway

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"

	"kingcupcourse/internal/budget"
	"kingcupcourse/internal/core"
	decisionbudget "kingcupcourse/internal/decision/budget"
	"kingcupcourse/internal/decision/overload"
	"kingcupcourse/internal/decision/residency"
	"kingcupcourse/internal/gateway/admission"
	"kingcupcourse/internal/gateway/callers"
	"kingcupcourse/internal/gateway/catalog"
	"kingcupcourse/internal/gateway/connections"
	"kingcupcourse/internal/gateway/deaths"
	"kingcupcourse/internal/gateway/fleet"
	"kingcupcourse/internal/gateway/frontend"
	"kingcupcourse/internal/gateway/mirror"
	"kingcupcourse/internal/gateway/moves"
	"kingcupcourse/internal/gateway/placement"
	"kingcupcourse/internal/gateway/refusals"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/process"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/settings"
	"kingcupcourse/internal/supervisor"
)

const (
	// stopMargin is the part of the grace period that is reserved for stopping
	// the other duties after the callers' listener has drained.
	stopMargin = 500 * time.Millisecond
	// listenerStopGrace is how long calls in progress from the load balancer and
	// from other hosts may take when the process stops.
	listenerStopGrace = 200 * time.Millisecond
	// longWatch is how long one watch call waits for changes of the hosts or of the
	// orders to move services, which are rare. A watch returns a change at once; the
	// time only bounds how long a dead connection goes unnoticed.
	longWatch = 5 * time.Second
)

// Adapter holds the platform-specific parts of the gateway.
type Adapter struct {
	Protocol frontend.Protocol
	Decoder  catalog.Decoder
	// Store returns the client of the platform's store.
	Store func(base string) *platform.Client
	// ReadyPath is the path of the load balancer's readiness probe.
	ReadyPath string
}

// Build returns the duties of a gateway in their start order. They stop in
// reverse order: the callers' listener accepts no new connections and waits for
// the requests in progress, which still need the other duties. A child that
// fails is restarted alone; too many restarts end the process.
func Build(adapter Adapter, env process.ProgramEnvironment, s *settings.Gateway) ([]supervisor.Child, error) {
	store := adapter.Store(s.Store).WithTimeout(s.StoreTimeoutMS.Duration())
	catalogTree := catalog.New(adapter.Decoder, env.Log)
	tolerance := fleet.Tolerance{Share: s.LimitOverage, Units: s.LimitSlack, Window: s.LimitWindow()}
	refusalWriter := refusals.NewWriter(store, env.Log)
	admissionDuty := admission.New(admission.Config{
		Snapshots: catalogTree.Subscribe(), Tolerance: tolerance, RetryShare: s.RepeatShare / 2, RetryBurst: s.RepeatBurst / 2,
		RefusalWrites: refusalWriter.Writes(), Log: env.Log,
	})
	movesTree := moves.New(moves.Config{
		Host: s.Host, Store: store, Decoder: adapter.Decoder, Snapshots: catalogTree.Subscribe(),
		Exposure: moves.Exposure{MaxShare: s.ExposeShare, FreeRequests: s.ExposeFree.Int()}, Log: env.Log,
	})
	host := core.Host{Name: s.Host, AvailabilityZone: s.AvailabilityZone}
	fleetTree := fleet.New(fleet.Config{
		Host: host, Address: s.Peers, Processor: s.ProcessorShare * s.ProcessorSpeed, Store: store,
		Snapshots: catalogTree.Subscribe(), Admission: admissionDuty, Tolerance: tolerance, Moves: movesTree, Log: env.Log,
	})
	mirrorDuties := mirror.New(mirror.Config{Host: s.Host, Store: store, Hosts: fleetTree.Hosts(), HostsPrefix: fleet.HostsPrefix, Log: env.Log})
	mirrorDuties.Follow(adapter.Decoder.ConfigurationPrefix(), s.WatchMS.Duration(), catalogTree.Deliver)
	mirrorDuties.Follow(adapter.Decoder.EndpointsPrefix(), s.WatchMS.Duration(), catalogTree.Deliver)
	mirrorDuties.Follow(adapter.Decoder.OrdersPrefix(), longWatch, catalogTree.Deliver)
	if s.Evacuations {
		catalogTree.ExpectEvacuations()
		mirrorDuties.Follow(adapter.Decoder.EvacuationsPrefix(), s.WatchMS.Duration(), catalogTree.Deliver)
	}
	mirrorDuties.Follow(fleet.HostsPrefix, longWatch, fleetTree.Deliver)
	mirrorDuties.Follow(refusals.Prefix, longWatch, admissionDuty.DeliverRefusals)
	fleetTree.OnDiscovery(mirrorDuties.Discovered)
	placementDuty := placement.New(placement.Config{
		Host: host, Snapshots: catalogTree.Subscribe(), Hosts: fleetTree.Hosts(), ListedHosts: fleetTree.ListedHosts(), Constraints: movesTree.Subscribe(),
		ColdTolerance: placement.ColdTolerance{Overage: s.ColdOverage, Slack: s.ColdSlack},
		Outcomes:      movesTree.Inbox(), Overload: overload.NewPolicy(s.WaitShares), AccountShares: s.AccountShares, Zones: knownZones(s),
		ZoneAware: s.ZoneAwarePlacement, Log: env.Log,
	})
	placementClient := placement.NewClient(placementDuty, env.Log)
	reporter := placement.NewReporter(s.Host, placementDuty, placementClient, env.Log)
	pool := connections.New(connections.Config{Snapshots: catalogTree.Subscribe(), Hosts: fleetTree.Hosts(), Log: env.Log})
	deathsDuty := deaths.New(deaths.Config{Snapshots: catalogTree.Subscribe(), Admission: admissionDuty.Inbox(), Log: env.Log})
	handler := callers.NewHandler(callers.Config{
		Host: s.Host, Protocol: adapter.Protocol, Admission: admissionDuty.Inbox(), HasSuspects: admissionDuty.HasSuspects, Place: placementClient.Place, Reports: reporter.Inbox(),
		EndpointSaid: placementClient.EndpointSaid, Connections: pool, Losses: deathsDuty.Inbox(),
		AcquireQuota: fleetTree.Acquire, Log: env.Log,
		Stop: callers.Stop{DrainingSince: env.DrainingSince, DrainDelay: s.DrainDelayMS.Duration(), CutAfter: s.Grace() - stopMargin},
	})
	memory, files := s.MemoryMB.Bytes(), s.MaxFiles.Int()
	callersBudget := budget.New("callers", decisionbudget.LimitsFor(memory, files), env.Log)
	peersBudget := budget.New("peers", decisionbudget.PeerLimitsFor(memory, files), env.Log)
	peerListener, err := supervisor.Listen(s.Peers, budget.MessageHandler(newPeerMux(fleetTree, placementClient, mirrorDuties)), listenerStopGrace)
	if err != nil {
		return nil, eris.Wrap(err, "listen for peers")
	}
	peerListener.WrapConnections(peersBudget.Accept)
	drain := s.Grace() - s.DrainDelayMS.Duration() - stopMargin
	callerListener, err := supervisor.Listen(s.Callers, budget.Handler(handler), drain)
	if err != nil {
		return nil, eris.Wrap(err, "listen for callers")
	}
	callerListener.WrapConnections(callersBudget.Accept)
	readinessMux := http.NewServeMux()
	readinessMux.Handle("GET "+adapter.ReadyPath, &readiness{admission: admissionDuty.Inbox(), drainingSince: env.DrainingSince})
	balancerListener, err := supervisor.Listen(s.Readiness, budget.MessageHandler(readinessMux), listenerStopGrace)
	if err != nil {
		return nil, eris.Wrap(err, "listen for the balancer")
	}
	balancerListener.WrapConnections(peersBudget.Accept)
	return []supervisor.Child{{Name: "gateway", Duty: supervisor.New(supervisor.Spec{
		Name: "gateway", Children: []supervisor.Child{
			{Name: "callers-budget", Duty: callersBudget},
			{Name: "peers-budget", Duty: peersBudget},
			{Name: "catalog", Duty: catalogTree.Supervisor},
			{Name: "moves", Duty: movesTree.Supervisor},
			{Name: "refusals", Duty: refusalWriter},
			{Name: "admission", Duty: admissionDuty},
			{Name: "placement", Duty: placementDuty},
			{Name: "reporter", Duty: reporter},
			{Name: "fleet", Duty: fleetTree.Supervisor},
			{Name: "mirror", Duty: mirrorDuties.Supervisor()},
			{Name: "peers", Duty: peerListener},
			{Name: "balancer", Duty: balancerListener},
			{Name: "connections", Duty: pool},
			{Name: "deaths", Duty: deathsDuty},
			{Name: "callers", Duty: callerListener, StopTimeout: drain + stopMargin},
		}}, env.Log)}}, nil
}

// newPeerMux returns the handler for requests and reports of other hosts, and
// for the metrics.
func newPeerMux(fleetTree *fleet.Fleet, placementClient *placement.Client, mirrorDuties *mirror.Mirror) *http.ServeMux {
	registry := prometheus.NewRegistry()
	registry.MustRegister(ring.Collector{}, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	registry.MustRegister(budget.Collectors()...)
	registry.MustRegister(admission.Collectors()...)
	registry.MustRegister(callers.Collectors()...)
	registry.MustRegister(catalog.Collectors()...)
	registry.MustRegister(connections.Collectors()...)
	registry.MustRegister(placement.Collectors()...)
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	fleetTree.RegisterHandlers(mux)
	placementClient.RegisterHandlers(mux)
	mirrorDuties.RegisterHandlers(mux)
	return mux
}

// knownZones returns the regions of the availability zones, the host's own
// included.
func knownZones(s *settings.Gateway) residency.Zones {
	zones := residency.Zones{s.AvailabilityZone: s.Region}
	for _, zone := range s.Zones {
		zones[zone.Name] = zone.Region
	}
	return zones
}
