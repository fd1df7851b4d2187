package fleet

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/fleet"
	"kingcupcourse/internal/gateway/catalog"
	"kingcupcourse/internal/gateway/moves"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/supervisor"
)

// Config holds the dependencies and settings of the fleet's duties.
type Config struct {
	Host core.Host
	// Address is the address at which other hosts reach the peer listener.
	Address string
	// Processor is the processor time that this host may use, in cores.
	Processor float64
	Store     *platform.Client
	Snapshots catalog.Subscription
	Admission Admission
	Tolerance Tolerance
	// Moves is told whether this host is the coordinator of shard 0, and exchanges
	// outcomes and constraints with the coordinator.
	Moves *moves.Moves
	Log   *zap.Logger
}

// Fleet is the supervisor of the duties that coordinate the hosts.
type Fleet struct {
	*supervisor.Supervisor
	registrar *registrar
	members   *membership
	ledger    *ledger
	client    *http.Client
}

// acquireTimeout bounds a quota request, as the caller's request waits for it.
const acquireTimeout = 60 * time.Millisecond

// New returns the supervisor, not yet running.
//
// Children, in start order: the ledger, which processes the reports of other
// hosts; the usage reporters, one for each shard of the limits, which send those
// of this host; and the registrar of this host.
func New(c Config) *Fleet {
	entry := hostEntry{Address: c.Address, Processor: c.Processor, AvailabilityZone: c.Host.AvailabilityZone}
	members := newMembership(entry.host(c.Host.Name), c.Log)
	f := &Fleet{registrar: &registrar{store: c.Store, name: c.Host.Name, entry: entry, lost: members.lost, log: c.Log}, members: members, ledger: newLedger(c, members.subscribeListed()), client: &http.Client{Transport: codec.NewTransport(0)}}
	children := []supervisor.Child{{Name: "ledger", Duty: f.ledger}}
	for shard := range maxLimitShards {
		children = append(children, supervisor.Child{Name: "exchange-" + strconv.Itoa(shard),
			Duty: newUsageReporter(c, shard, members.subscribeListed(), f.ledger, f.client)})
	}
	children = append(children, supervisor.Child{Name: "register", Duty: f.registrar})
	f.Supervisor = supervisor.New(supervisor.Spec{Name: "fleet", Children: children}, c.Log)
	return f
}

// Hosts returns a ring that holds only the latest hosts. It must be called before
// the supervisor runs.
func (f *Fleet) Hosts() Hosts { return f.members.subscribe() }

// ListedHosts returns a ring that holds only the latest hosts, and nothing until the
// store's list of them is known.
func (f *Fleet) ListedHosts() Hosts { return f.members.subscribeListed() }

// Deliver applies an update of the hosts' entries.
func (f *Fleet) Deliver(ctx context.Context, update platform.Update) error {
	return f.members.deliver(ctx, update)
}

// OnDiscovery makes the registrar pass the hosts that it discovers to discovered. It
// must be called before the supervisor runs.
func (f *Fleet) OnDiscovery(discovered func(context.Context, []fleet.Host) error) {
	f.registrar.discovered = discovered
}

// RegisterHandlers adds the handlers for reports and quota requests of other
// hosts.
func (f *Fleet) RegisterHandlers(mux *http.ServeMux) {
	mux.Handle("POST "+reportPath, codec.Handle(func(ctx context.Context, report *Report) (*ReportResponse, error) {
		m := reportMessage{Reply: ring.NewReply[ReportResponse](), report: *report}
		response, err := callLedger(ctx, f.ledger, m, m.Reply)
		return &response, err
	}))
	mux.Handle("POST "+acquirePath, codec.Handle(func(ctx context.Context, request *AcquireRequest) (*AcquireResponse, error) {
		m := acquireMessage{Reply: ring.NewReply[AcquireResponse](), request: *request}
		response, err := callLedger(ctx, f.ledger, m, m.Reply)
		return &response, err
	}))
}

// Acquire asks the coordinator for the quota of one request.
func (f *Fleet) Acquire(ctx context.Context, request AcquireRequest) (AcquireResponse, error) {
	if request.Coordinator == "" {
		m := acquireMessage{Reply: ring.NewReply[AcquireResponse](), request: request}
		return callLedger(ctx, f.ledger, m, m.Reply)
	}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	var response AcquireResponse
	err := codec.Call(ctx, f.client, request.Coordinator, acquirePath, &request, &response)
	return response, err
}

// callLedger puts a message in the ledger's ring and waits for the reply. It
// fails if the ring is full.
func callLedger[T any](ctx context.Context, l *ledger, m Message, reply ring.Reply[T]) (T, error) {
	if err := l.inbox.TryPut(m); err != nil {
		var zero T
		return zero, err
	}
	return reply.Wait(ctx)
}
