// Package ledger is a stand-in for a plain service that keeps accounts. It
// executes each request as often as it arrives, and counts the executions.
package ledger

import (
	"context"

	"go.uber.org/zap"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/standin/faultserver"
	"kingcupcourse/internal/standin/orders"
	"kingcupcourse/internal/supervisor"
)

// inboxCapacity is the number of messages that may wait for the ledger duty.
const inboxCapacity = 1024

// Ledger is a supervisor of the ledger duty and the HTTP server. The ledger duty
// starts first and stops last; after a restart it has the accounts it had before.
// The server stops first, so that open requests can finish within its drain
// timeout.
type Ledger struct {
	name   string
	inbox  *ring.Ring[message]
	server *faultserver.Server
	tree   *supervisor.Supervisor
}

// New binds the address and returns a ledger that is not yet running.
func New(config Config, log *zap.Logger) (*Ledger, error) {
	config = config.withDefaults()
	l := &Ledger{name: config.Name, inbox: ring.New[message]("standin_ledger", inboxCapacity)}
	var err error
	l.server, err = faultserver.New(faultserver.Config{
		Address:      config.Address,
		Handler:      l.routes(),
		Backend:      l,
		RestartDelay: milliseconds(config.RestartMS),
		Seed:         config.Seed,
	}, log)
	if err != nil {
		return nil, err
	}
	ledgerDuty := &duty{
		inbox:    l.inbox,
		config:   config,
		settings: faultserver.Settings{SlowFactor: 1},
		status:   orders.NewStatus(config.Version),
		accounts: newAccounts(),
		crash:    l.server.Crash,
		stats:    Stats{AvailabilityZone: config.AvailabilityZone, Runs: map[string]int{}},
	}
	l.tree = supervisor.New(supervisor.Spec{Name: config.Name, Children: []supervisor.Child{
		{Name: "books", Duty: ledgerDuty},
		{Name: "front", Duty: l.server.Supervisor()},
	}}, log)
	return l, nil
}

// Name returns the name in the admin paths.
func (l *Ledger) Name() string { return l.name }

// Address returns the bound address, including the port.
func (l *Ledger) Address() string { return l.server.Address() }

// Supervisor returns the supervisor to run.
func (l *Ledger) Supervisor() *supervisor.Supervisor { return l.tree }

// SetFault applies a JSON patch to the fault settings. It returns
// faultserver.ErrInvalidFault if the patch is not valid.
func (l *Ledger) SetFault(ctx context.Context, patch []byte) error {
	return l.server.SetFault(ctx, patch)
}

// Stats returns the counters as a Stats.
func (l *Ledger) Stats(ctx context.Context) (any, error) {
	m := getStats{Reply: ring.NewReply[Stats]()}
	return call(ctx, l, m, m.Reply)
}

// UpdateSettings implements faultserver.Backend.
func (l *Ledger) UpdateSettings(ctx context.Context, settings faultserver.Settings) error {
	return l.inbox.Put(ctx, updateSettings{settings: settings})
}

// Reset implements faultserver.Backend.
func (l *Ledger) Reset(ctx context.Context, generation int) error {
	return l.inbox.Put(ctx, resetState{generation: generation})
}
