// Package ledger is a stand-in for a plain service that keeps accounts. It
// runs each request as often as it arrives and counts that.
package ledger

import (
	"context"

	"go.uber.org/zap"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/standin/faultserver"
	"kingcupcourse/internal/standin/orders"
	"kingcupcourse/internal/supervisor"
)

// inboxCapacity is how many messages may wait for the ledger duty.
const inboxCapacity = 1024

// Ledger is a supervisor of the ledger duty and the front. The ledger duty
// starts first and stops last; it starts again with the book it had. The
// front stops first, so that open requests can finish in its grace time.
type Ledger struct {
	name  string
	inbox *ring.Ring[message]
	front *faultserver.Server
	tree  *supervisor.Supervisor
}

// New binds the address and returns a ledger that is not yet running.
func New(config Config, log *zap.Logger) (*Ledger, error) {
	config = config.withDefaults()
	l := &Ledger{name: config.Name, inbox: ring.New[message]("standin_ledger", inboxCapacity)}
	var err error
	l.front, err = faultserver.New(faultserver.Config{
		Address:      config.Address,
		Handler:      l.routes(),
		Backend:      l,
		RestartDelay: milliseconds(config.RestartMS),
		Seed:         config.Seed,
	}, log)
	if err != nil {
		return nil, err
	}
	books := &duty{
		inbox:    l.inbox,
		config:   config,
		settings: faultserver.Settings{SlowFactor: 1},
		status:   orders.NewStatus(config.Version),
		accounts: newAccounts(),
		crash:    l.front.Crash,
		stats:    Stats{AvailabilityZone: config.AvailabilityZone, Runs: map[string]int{}},
	}
	l.tree = supervisor.New(supervisor.Spec{Name: config.Name, Children: []supervisor.Child{
		{Name: "books", Duty: books},
		{Name: "front", Duty: l.front.Supervisor()},
	}}, log)
	return l, nil
}

// Name returns the name in the admin paths.
func (l *Ledger) Name() string { return l.name }

// Address returns the bound address with its port.
func (l *Ledger) Address() string { return l.front.Address() }

// Supervisor returns the tree to run.
func (l *Ledger) Supervisor() *supervisor.Supervisor { return l.tree }

// SetFault changes the faults by a JSON order. It returns
// front.ErrBadFault for an order that is not valid.
func (l *Ledger) SetFault(ctx context.Context, order []byte) error {
	return l.front.SetFault(ctx, order)
}

// Stats returns the counters, a Stats.
func (l *Ledger) Stats(ctx context.Context) (any, error) {
	m := getStats{Reply: ring.NewReply[Stats]()}
	return call(ctx, l, m, m.Reply)
}

// UpdateSettings implements front.Owner.
func (l *Ledger) UpdateSettings(ctx context.Context, settings faultserver.Settings) error {
	return l.inbox.Put(ctx, updateSettings{settings: settings})
}

// Reset implements front.Owner.
func (l *Ledger) Reset(ctx context.Context, life int) error {
	return l.inbox.Put(ctx, resetState{generation: life})
}
