package process

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/ring"
)

// drain is the duty that waits for the signal to stop. It then makes the
// process unready and lets the peers know, gives the balancer and the peers
// the drain delay to turn elsewhere, and ends the tree.
type drain struct {
	signalled context.Context
	tree      *tree
	// leave lets the peers know.
	leave func(context.Context) error
	log   *zap.Logger
	delay time.Duration
	// idle stays empty; it is what the duty waits on.
	idle *ring.Ring[struct{}]
}

func (t *tree) newDrain(signalled context.Context, env *Environment) *drain {
	return &drain{
		signalled: signalled,
		tree:      t,
		leave:     env.Control.AnnounceDraining,
		log:       env.Log,
		delay:     time.Duration(env.Settings.DrainDelayMS) * time.Millisecond,
		idle:      ring.New[struct{}]("process_drain", 1),
	}
}

// Serve implements supervisor.Duty.
func (d *drain) Serve(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-d.signalled.Done():
	}
	d.log.Info("draining", zap.Duration("delay", d.delay))
	d.tree.draining.Store(true)
	if err := d.leave(ctx); err != nil {
		return err
	}
	_, err := d.idle.TakeUntil(ctx, time.Now().Add(d.delay))
	if !errors.Is(err, ring.ErrTimeout) {
		return err
	}
	d.tree.stop()
	<-ctx.Done()
	return ctx.Err()
}
