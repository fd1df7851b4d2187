// Package gateway is the path of a request through a host whose callers and
// endpoints speak plain HTTP: it admits the request, places it on an endpoint,
// and sees the answer through. How all of that is spelled on the wire is an
// adapter's matter.
package gateway

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/gateway/admission"
	"kingcupcourse/internal/gateway/callers"
	"kingcupcourse/internal/gateway/catalog"
	"kingcupcourse/internal/gateway/fleet"
	"kingcupcourse/internal/gateway/frontend"
	"kingcupcourse/internal/gateway/moves"
	"kingcupcourse/internal/gateway/placement"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/process"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/settings"
	"kingcupcourse/internal/supervisor"
)

const (
	// stopMargin is the part of the grace time that is left for the duties
	// behind the callers.
	stopMargin = 500 * time.Millisecond
	// listenerGrace is how long calls in progress of the balancer and of other
	// hosts may take at a stop.
	listenerGrace = 200 * time.Millisecond
)

// Adapter is what the gateway needs of the platform's adapter.
type Adapter struct {
	Protocol frontend.Protocol
	Decoder  catalog.Decoder
	// Store returns the client of the platform's store.
	Store func(base string) *platform.Client
	// ReadyPath is where the balancer asks for readiness.
	ReadyPath string
}

// Build returns the duties of a gateway, in the order of their start. They are
// stopped in the reverse: the callers' listener takes no new connection and
// waits for the requests in progress, which still need the rest. A child that
// fails is restarted alone; a restart storm ends the process.
func Build(adapter Adapter, env process.ProgramEnvironment, s *settings.Gateway) ([]supervisor.Child, error) {
	store := adapter.Store(s.Store).WithTimeout(milliseconds(s.StoreTimeoutMS))
	known := catalog.New(store, adapter.Decoder, milliseconds(s.WatchMS), env.Log)
	tolerance := fleet.Tolerance{Share: s.LimitOverage, Units: s.LimitSlack, Window: milliseconds(s.LimitWindowMS)}
	let := admission.New(admission.Config{
		Snapshots: known.Subscribe(), Tolerance: tolerance, RetryShare: s.RepeatShare / 2, RetryBurst: s.RepeatBurst / 2,
	})
	moved := moves.New(moves.Config{
		Host: s.Host, Store: store, Decoder: adapter.Decoder, Snapshots: known.Subscribe(),
		Exposure: moves.Exposure{MaxShare: s.ExposeShare, FreeRequests: s.ExposeFree}, Log: env.Log,
	})
	host := core.Host{Name: s.Host, AvailabilityZone: s.AvailabilityZone}
	hosts := fleet.New(fleet.Config{
		Host: host, Address: s.Peers, Store: store, Snapshots: known.Subscribe(), Admission: let,
		Tolerance: tolerance, Moves: moved.Inbox(), Log: env.Log,
	})
	placed := placement.New(host, known.Subscribe(), moved.Stages(), moved.Inbox())
	keeper := placement.NewClient(placed, env.Log)
	told := placement.NewReporter(s.Host, placed, keeper, env.Log)
	handler := callers.NewHandler(callers.Config{
		Host: s.Host, Protocol: adapter.Protocol, Admission: let.Inbox(), Place: keeper.Place, Reports: told.Inbox(),
		AcquireQuota: hosts.Acquire, Draining: env.Draining, Log: env.Log,
	})
	peers, err := supervisor.Listen(s.Peers, peersMux(hosts, keeper), listenerGrace)
	if err != nil {
		return nil, eris.Wrap(err, "listen for peers")
	}
	drain := milliseconds(s.GraceMS-s.DrainDelayMS) - stopMargin
	front, err := supervisor.Listen(s.Callers, handler, drain)
	if err != nil {
		return nil, eris.Wrap(err, "listen for callers")
	}
	ready := http.NewServeMux()
	ready.Handle("GET "+adapter.ReadyPath, &readiness{admission: let.Inbox(), draining: env.Draining})
	balancer, err := supervisor.Listen(s.Readiness, ready, listenerGrace)
	if err != nil {
		return nil, eris.Wrap(err, "listen for the balancer")
	}
	return []supervisor.Child{{Name: "gateway", Duty: supervisor.New(supervisor.Spec{
		Name: "gateway", Children: []supervisor.Child{
			{Name: "catalog", Duty: known.Supervisor},
			{Name: "moves", Duty: moved.Supervisor},
			{Name: "admission", Duty: let},
			{Name: "placement", Duty: placed},
			{Name: "reporter", Duty: told},
			{Name: "fleet", Duty: hosts.Supervisor},
			{Name: "peers", Duty: peers},
			{Name: "balancer", Duty: balancer},
			{Name: "callers", Duty: front, StopTimeout: drain + stopMargin},
		}}, env.Log)}}, nil
}

// peersMux serves other hosts' questions and reports, and the metrics.
func peersMux(hosts *fleet.Fleet, keeper *placement.Client) *http.ServeMux {
	registry := prometheus.NewRegistry()
	registry.MustRegister(ring.Collector{}, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	registry.MustRegister(callers.Collectors()...)
	registry.MustRegister(catalog.Collectors()...)
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	hosts.RegisterHandlers(mux)
	keeper.RegisterHandlers(mux)
	return mux
}

func milliseconds(value int64) time.Duration { return time.Duration(value) * time.Millisecond }
