package process

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/ring"
)

// drain is the duty that waits for the stop signal. It then marks the process
// as not ready, announces to the peers that it is draining, waits for the drain
// delay so that the load balancer and the peers send their requests elsewhere,
// and stops the supervisor tree.
type drain struct {
	stopSignal context.Context
	tree       *processTree
	// announceDraining tells the peers that this process is draining.
	announceDraining func(context.Context) error
	log              *zap.Logger
	delay            time.Duration
	// neverFilled never receives a message: the duty waits on it with a
	// timeout for the drain delay.
	neverFilled *ring.Ring[struct{}]
}

func (t *processTree) newDrain(stopSignal context.Context, env *Environment) *drain {
	return &drain{
		stopSignal:       stopSignal,
		tree:             t,
		announceDraining: env.Control.AnnounceDraining,
		log:              env.Log,
		delay:            env.Settings.DrainDelayMS.Duration(),
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
	d.tree.draining.begin(time.Now())
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
