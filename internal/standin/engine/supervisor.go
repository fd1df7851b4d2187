// Package engine is a stand-in for a model engine with continuous batching:
// slots, a step that gets slower as the batch grows, a prefix cache with
// limited memory, and reports that lag.
package engine

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/standin/faultserver"
	"kingcupcourse/internal/supervisor"
)

// inboxCapacity is how many messages may wait for the engine duty.
const inboxCapacity = 1024

// Engine is a supervisor of the engine duty and the front. The engine duty
// starts first and stops last; it starts again with the runs it had. The
// front stops first, so that open streams can finish within its grace time.
type Engine struct {
	name  string
	inbox *ring.Ring[message]
	front *faultserver.Server
	tree  *supervisor.Supervisor
}

// New binds the address and returns an engine that is not yet running.
func New(config Config, log *zap.Logger) (*Engine, error) {
	config = config.withDefaults()
	e := &Engine{name: config.Name, inbox: ring.New[message]("standin_engine", inboxCapacity)}
	var err error
	e.front, err = faultserver.New(faultserver.Config{
		Address:      config.Address,
		Handler:      e.routes(),
		Backend:      e,
		RestartDelay: milliseconds(config.RestartMS),
		Seed:         config.Seed,
	}, log)
	if err != nil {
		return nil, err
	}
	e.tree = supervisor.New(supervisor.Spec{Name: config.Name, Children: []supervisor.Child{
		{Name: "batch", Duty: newDuty(config, e.inbox, e.front.Crash)},
		{Name: "front", Duty: e.front.Supervisor()},
	}}, log)
	return e, nil
}

func newDuty(config Config, inbox *ring.Ring[message], crash func() error) *duty {
	d := &duty{
		inbox:  inbox,
		config: config,
		events: &eventLog{
			delay:   milliseconds(config.CacheEventLagMS),
			gapRate: config.CacheEventGapRate,
			rng:     rand.New(rand.NewPCG(config.Seed, 2)),
		},
		history: loadHistory{delay: milliseconds(config.LoadLagMS)},
		stats:   Stats{AvailabilityZone: config.AvailabilityZone, Runs: map[string]int{}},
		runs:    map[string]*run{},
		crash:   crash,
	}
	d.resetBatch(faultserver.Settings{SlowFactor: 1}, time.Now())
	return d
}

// Name returns the name in the admin paths.
func (e *Engine) Name() string { return e.name }

// Address returns the bound address with its port.
func (e *Engine) Address() string { return e.front.Address() }

// Supervisor returns the tree to run.
func (e *Engine) Supervisor() *supervisor.Supervisor { return e.tree }

// SetFault changes the faults by a JSON order. It returns
// front.ErrBadFault for an order that is not valid.
func (e *Engine) SetFault(ctx context.Context, order []byte) error {
	return e.front.SetFault(ctx, order)
}

// Stats returns the counters, a Stats.
func (e *Engine) Stats(ctx context.Context) (any, error) {
	m := getStats{Reply: ring.NewReply[Stats]()}
	return call(ctx, e, m, m.Reply)
}

// UpdateSettings implements front.Owner.
func (e *Engine) UpdateSettings(ctx context.Context, settings faultserver.Settings) error {
	return e.inbox.Put(ctx, updateSettings{settings: settings})
}

// Reset implements front.Owner.
func (e *Engine) Reset(ctx context.Context, life int) error {
	return e.inbox.Put(ctx, resetState{generation: life})
}
