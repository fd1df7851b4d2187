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
	stopSignal context.Context
	tree       *processTree
	// announceDraining lets the peers know.
	announceDraining func(context.Context) error
	log              *zap.Logger
	delay            time.Duration
	// neverFilled stays empty; it is what the duty waits on.
	neverFilled *ring.Ring[struct{}]
}

func (t *processTree) newDrain(signalled context.Context, env *Environment) *drain {
	return &drain{
		stopSignal:       signalled,
		tree:             t,
		announceDraining: env.Control.AnnounceDraining,
		log:              env.Log,
		delay:            time.Duration(env.Settings.DrainDelayMS) * time.Millisecond,
		neverFilled:      ring.New[struct{}]("process_drain", 1),
	}
}

// Serve implements supervisor.Duty.
func (d *drain) Serve(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-d.stopSignal.Done():
	}
	d.log.Info("draining", zap.Duration("delay", d.delay))
	d.tree.draining.Store(true)
	if err := d.announceDraining(ctx); err != nil {
		return err
	}
	_, err := d.neverFilled.TakeUntil(ctx, time.Now().Add(d.delay))
	if !errors.Is(err, ring.ErrTimeout) {
		return err
	}
	d.tree.stop()
	<-ctx.Done()
	return ctx.Err()
}
