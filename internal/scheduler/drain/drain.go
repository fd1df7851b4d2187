// Package drain implements the duty that hands the shards over to other
// schedulers when the process stops. It is started last and therefore stopped
// first, so that it drains the shards while all other duties still run.
package drain

import (
	"context"
	"errors"
	"time"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/scheduler/inbox"
	"kingcupcourse/internal/supervisor"
)

// Timeout limits the duration of the handover.
const Timeout = 5 * time.Second

// Duty drains all shards when its context ends.
type Duty struct {
	shards *ring.Ring[inbox.ManagerMessage]
}

// New returns a duty that sends the drain request to the given ring.
func New(shards *ring.Ring[inbox.ManagerMessage]) *Duty {
	return &Duty{shards: shards}
}

// Serve implements supervisor.Duty.
func (d *Duty) Serve(ctx context.Context) error {
	<-ctx.Done()
	if errors.Is(context.Cause(ctx), supervisor.ErrKilled) {
		return context.Cause(ctx) // only this duty was killed, the process is not stopping
	}
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), Timeout)
	defer cancel()
	drain := inbox.DrainAll{Reply: ring.NewReply[struct{}]()}
	if err := d.shards.Put(bounded, drain); err != nil {
		return err
	}
	_, err := drain.Wait(bounded)
	return err
}
