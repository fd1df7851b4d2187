package fleet

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/gateway/catalog"
	"kingcupcourse/internal/gateway/moves"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/supervisor"
)

// Config is what the fleet's duties need of the process.
type Config struct {
	Host core.Host
	// Address is the peers' listener, as other hosts reach it.
	Address   string
	Store     *platform.Client
	Snapshots catalog.Subscription
	Admission Admission
	Tolerance Tolerance
	// Moves is told whether this host is the keeper.
	Moves *ring.Ring[moves.Message]
	Log   *zap.Logger
}

// Fleet is the supervisor of the duties that join the hosts.
type Fleet struct {
	*supervisor.Supervisor
	ledger *ledger
	client *http.Client
}

// wantTimeout bounds the question about one request, which waits for it.
const wantTimeout = 60 * time.Millisecond

// New returns the supervisor, which is not yet running.
//
// Children, in their order: the ledger, which takes the reports of other
// hosts; the exchange, which makes those of this one; the follower of the
// hosts' entries; and the duty that registers this host, which is done once it
// has.
func New(c Config) *Fleet {
	own := newLedger(c.Snapshots, c.Tolerance)
	reports := newExchange(c, own)
	members := &membership{self: c.Host.Name, addresses: map[string]string{}, out: reports.members, log: c.Log}
	return &Fleet{ledger: own, client: reports.client, Supervisor: supervisor.New(supervisor.Spec{Name: "fleet", Children: []supervisor.Child{
		{Name: "ledger", Duty: own},
		{Name: "exchange", Duty: reports},
		{Name: "follow-hosts", Duty: platform.NewWatcher(c.Store, HostsPrefix, membersWait, members.deliver)},
		{Name: "register", Duty: &register{store: c.Store, name: c.Host.Name, address: c.Address, log: c.Log}},
	}}, c.Log)}
}

// RegisterHandlers adds the handlers of other hosts' reports and wants.
func (f *Fleet) RegisterHandlers(mux *http.ServeMux) {
	mux.Handle("POST "+reportPath, codec.Handle(func(ctx context.Context, report *Report) (*ReportResponse, error) {
		m := reported{Reply: ring.NewReply[ReportResponse](), report: *report}
		answer, err := consult(ctx, f.ledger, m, m.Reply)
		return &answer, err
	}))
	mux.Handle("POST "+wantPath, codec.Handle(func(ctx context.Context, want *AcquireRequest) (*AcquireResponse, error) {
		m := wanted{Reply: ring.NewReply[AcquireResponse](), want: *want}
		decided, err := consult(ctx, f.ledger, m, m.Reply)
		return &decided, err
	}))
}

// Acquire asks the keeper of the ledger to let one request in.
func (f *Fleet) Acquire(ctx context.Context, want AcquireRequest) (AcquireResponse, error) {
	if want.Coordinator == "" {
		m := wanted{Reply: ring.NewReply[AcquireResponse](), want: want}
		return consult(ctx, f.ledger, m, m.Reply)
	}
	ctx, cancel := context.WithTimeout(ctx, wantTimeout)
	defer cancel()
	var decided AcquireResponse
	err := codec.Call(ctx, f.client, want.Coordinator, wantPath, &want, &decided)
	return decided, err
}

// consult puts a message in the ledger's ring, unless it is full, and waits
// for the answer.
func consult[T any](ctx context.Context, l *ledger, m Message, reply ring.Reply[T]) (T, error) {
	if err := l.inbox.TryPut(m); err != nil {
		var none T
		return none, err
	}
	return reply.Wait(ctx)
}
