// Package engine is a stand-in for a model engine with continuous batching: a
// limited number of slots, decode steps that slow down as the batch grows, a
// prefix cache with limited memory, and delayed load reports.
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

// inboxCapacity is the number of messages that may wait for the engine duty.
const inboxCapacity = 1024

// Engine is a supervisor of the engine duty and the HTTP server. The engine duty
// starts first and stops last; after a restart it has the runs it had before.
// The server stops first, so that open streams can finish within its drain
// timeout.
type Engine struct {
	name   string
	inbox  *ring.Ring[message]
	server *faultserver.Server
	tree   *supervisor.Supervisor
}

// New binds the address and returns an engine that is not yet running.
func New(config Config, log *zap.Logger) (*Engine, error) {
	config = config.withDefaults()
	e := &Engine{name: config.Name, inbox: ring.New[message]("standin_engine", inboxCapacity)}
	var err error
	e.server, err = faultserver.New(faultserver.Config{
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
		{Name: "batch", Duty: newDuty(config, e.inbox, e.server.Crash)},
		{Name: "front", Duty: e.server.Supervisor()},
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

// Address returns the bound address, including the port.
func (e *Engine) Address() string { return e.server.Address() }

// Supervisor returns the supervisor to run.
func (e *Engine) Supervisor() *supervisor.Supervisor { return e.tree }

// SetFault applies a JSON patch to the fault settings. It returns
// faultserver.ErrInvalidFault if the patch is not valid.
func (e *Engine) SetFault(ctx context.Context, patch []byte) error {
	return e.server.SetFault(ctx, patch)
}

// Stats returns the counters as a Stats.
func (e *Engine) Stats(ctx context.Context) (any, error) {
	m := getStats{Reply: ring.NewReply[Stats]()}
	return call(ctx, e, m, m.Reply)
}

// UpdateSettings implements faultserver.Backend.
func (e *Engine) UpdateSettings(ctx context.Context, settings faultserver.Settings) error {
	return e.inbox.Put(ctx, updateSettings{settings: settings})
}

// Reset implements faultserver.Backend.
func (e *Engine) Reset(ctx context.Context, generation int) error {
	return e.inbox.Put(ctx, resetState{generation: generation})
}
