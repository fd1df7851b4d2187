// Package drain is the duty that hands the shards over when the process is
// to stop. It is started last and so stopped first: it does its work while
// all others still run.
package drain

import (
	"context"
	"errors"
	"time"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/scheduler/inbox"
	"kingcupcourse/internal/supervisor"
)

// Timeout bounds the handover.
const Timeout = 5 * time.Second

// Duty waits for the stop.
type Duty struct {
	shards *ring.Ring[inbox.ManagerMessage]
}

// New returns the duty.
func New(shards *ring.Ring[inbox.ManagerMessage]) *Duty {
	return &Duty{shards: shards}
}

// Serve implements supervisor.Duty.
func (d *Duty) Serve(ctx context.Context) error {
	<-ctx.Done()
	if errors.Is(context.Cause(ctx), supervisor.ErrKilled) {
		return context.Cause(ctx) // a fault of this duty, not the process's stop
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
