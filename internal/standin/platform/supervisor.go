// Package platform is a stand-in for the platform's object API. It keeps
// all objects in memory.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/supervisor"
)

const (
	// inboxCapacity is how many calls may wait for the store duty.
	inboxCapacity = 1024
	// drainTimeout is how long open calls may go on after a stop was asked.
	drainTimeout = time.Second
)

// Platform is a supervisor of two duties: the store, which starts first and
// stops last and starts again with the objects it had, and the accepting
// duty, which drains the open calls first on a stop.
type Platform struct {
	name    string
	inbox   *ring.Ring[message]
	tree    *supervisor.Supervisor
	address string
}

// New binds the address, reads the first objects and returns a platform
// that is not yet running.
func New(config Config, log *zap.Logger) (*Platform, error) {
	p := &Platform{name: config.Name, inbox: ring.New[message]("standin_platform", inboxCapacity)}
	state := newStore(p.inbox)
	if err := loadInitialObjects(&state.current, config.Objects); err != nil {
		return nil, err
	}
	accept, err := supervisor.Listen(config.Address, p.routes(), drainTimeout)
	if err != nil {
		return nil, err
	}
	p.address = accept.Address()
	p.tree = supervisor.New(supervisor.Spec{Name: config.Name, Children: []supervisor.Child{
		{Name: "store", Duty: state},
		{Name: "accept", Duty: accept},
	}}, log)
	return p, nil
}

func loadInitialObjects(state *objects, first []Object) error {
	for _, o := range first {
		value := o.Value
		if o.File != "" {
			content, err := os.ReadFile(o.File)
			if err != nil {
				return fmt.Errorf("platform: object %s: %w", o.Key, err)
			}
			value = content
		}
		if o.Key == "" || !json.Valid(value) || len(value) > maxValueBytes {
			return fmt.Errorf("platform: object %q needs a key and a JSON value of at most 1 MiB", o.Key)
		}
		state.put(o.Key, state.byKey[o.Key].Version, value)
	}
	return nil
}

// Name returns the name in the admin paths.
func (p *Platform) Name() string { return p.name }

// Address returns the bound address with its port.
func (p *Platform) Address() string { return p.address }

// Supervisor returns the tree to run.
func (p *Platform) Supervisor() *supervisor.Supervisor { return p.tree }

// SetFault changes the faults by a JSON order. It returns ErrBadFault for
// an order that is not valid.
func (p *Platform) SetFault(ctx context.Context, order []byte) error {
	m := patchSettings{Reply: ring.NewReply[error](), patch: order}
	applied, err := call(ctx, p, m, m.Reply)
	if err != nil {
		return err
	}
	return applied
}

// Stats returns the counters, a Stats.
func (p *Platform) Stats(ctx context.Context) (any, error) {
	m := getStats{Reply: ring.NewReply[Stats]()}
	return call(ctx, p, m, m.Reply)
}
