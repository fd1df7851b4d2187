// Package views is the duty that passes each new view on to the manager of
// the shards.
package views

import (
	"context"

	"kingcupcourse/internal/control"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/scheduler/inbox"
)

// Duty takes views from a subscription and puts them into the manager's ring.
type Duty struct {
	views  control.Subscription
	shards *ring.Ring[inbox.ManagerMessage]
}

// New returns the duty.
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
