// Package platform is a stand-in for the object API of the platform. It keeps
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
	// inboxCapacity is the number of messages that may wait for the store
	// duty.
	inboxCapacity = 1024
	// drainTimeout is how long open calls may continue after a stop request.
	drainTimeout = time.Second
)

// Platform is a supervisor of two duties. The store starts first and stops last;
// after a restart it has the objects it had before. The accept duty stops first
// and drains the open calls.
type Platform struct {
	name    string
	inbox   *ring.Ring[message]
	tree    *supervisor.Supervisor
	address string
}

// New loads the initial objects, binds the address and returns a platform that
// is not yet running.
func New(config Config, log *zap.Logger) (*Platform, error) {
	p := &Platform{name: config.Name, inbox: ring.New[message]("standin_platform", inboxCapacity)}
	storeDuty := newStore(p.inbox)
	if err := loadInitialObjects(&storeDuty.current, config.Objects); err != nil {
		return nil, err
	}
	accept, err := supervisor.Listen(config.Address, p.routes(), drainTimeout)
	if err != nil {
		return nil, err
	}
	p.address = accept.Address()
	p.tree = supervisor.New(supervisor.Spec{Name: config.Name, Children: []supervisor.Child{
		{Name: "store", Duty: storeDuty},
		{Name: "accept", Duty: accept},
	}}, log)
	return p, nil
}

func loadInitialObjects(state *objects, initial []Object) error {
	for _, o := range initial {
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

// Address returns the bound address, including the port.
func (p *Platform) Address() string { return p.address }

// Supervisor returns the supervisor to run.
func (p *Platform) Supervisor() *supervisor.Supervisor { return p.tree }

// SetFault applies a JSON patch to the fault settings. It returns
// ErrInvalidFault if the patch is not valid.
func (p *Platform) SetFault(ctx context.Context, patch []byte) error {
	m := patchSettings{Reply: ring.NewReply[error](), patch: patch}
	applied, err := call(ctx, p, m, m.Reply)
	if err != nil {
		return err
	}
	return applied
}

// Stats returns the counters as a Stats.
func (p *Platform) Stats(ctx context.Context) (any, error) {
	m := getStats{Reply: ring.NewReply[Stats]()}
	return call(ctx, p, m, m.Reply)
}
