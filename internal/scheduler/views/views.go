// Package views implements the duty that forwards each new view to the shard
// manager.
package views

import (
	"context"

	"kingcupcourse/internal/control"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/scheduler/inbox"
)

// Duty forwards views from a subscription to the ring of the shard manager.
type Duty struct {
	views  control.Subscription
	shards *ring.Ring[inbox.ManagerMessage]
}

// New returns a duty that forwards views to the given ring.
func New(views control.Subscription, shards *ring.Ring[inbox.ManagerMessage]) *Duty {
	return &Duty{views: views, shards: shards}
}

// Serve implements supervisor.Duty.
func (d *Duty) Serve(ctx context.Context) error {
	for {
		view, err := d.views.Take(ctx)
		if err != nil {
			return err
		}
		if err := d.shards.Put(ctx, inbox.NewView{View: view}); err != nil {
			return err
		}
	}
}
