// Package manager implements the duty that starts one mover for each planned
// move of the manifest and forwards the newest view to the movers.
package manager

import (
	"context"

	"go.uber.org/zap"

	"kingcupcourse/internal/control"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/rollout/moves/mover"
	"kingcupcourse/internal/supervisor"
)

// Duty manages the movers. It is itself a child of the supervisor to which it
// adds them.
type Duty struct {
	config     mover.Config
	views      control.Subscription
	parent     *supervisor.Supervisor
	moverViews map[string]control.Subscription
}

// New returns a manager without movers.
func New(config mover.Config, views control.Subscription) *Duty {
	return &Duty{config: config, views: views, moverViews: map[string]control.Subscription{}}
}

// SetParent sets the supervisor to which movers are added. It must be called
// before Serve.
func (d *Duty) SetParent(parent *supervisor.Supervisor) { d.parent = parent }

// Serve implements supervisor.Duty.
func (d *Duty) Serve(ctx context.Context) error {
	for {
		view, err := d.views.Take(ctx)
		if err != nil {
			return err
		}
		if view.Manifest != nil {
			d.update(view)
		}
	}
}

// update adds a mover for each new move and publishes the view to all movers. If
// a move is removed from the manifest, its mover stays until it has reverted the
// move and ended by itself.
func (d *Duty) update(view *control.View) {
	for _, move := range view.Manifest.Moves {
		if d.moverViews[move.Name] == nil {
			d.addMover(move)
		}
	}
	for _, views := range d.moverViews {
		views.Publish(view)
	}
}

func (d *Duty) addMover(move manifest.Move) {
	d.config.Log.Info("planned move", zap.String("move", move.Name), zap.String("pool", move.Pool),
		zap.String("from_version", string(move.FromVersion)), zap.String("to_version", string(move.ToVersion)),
		zap.Int64("deadline_unix_ms", move.DeadlineUnixMS))
	views := ring.NewLatest[*control.View]()
	d.moverViews[move.Name] = views
	d.parent.Add(supervisor.Child{Name: "move-" + move.Name, Duty: mover.New(d.config, move, views)})
}
