package process

import (
	"context"
	"os/signal"
	"reflect"
	"syscall"

	"go.uber.org/zap"
)

// reload is the duty that reads the settings file again on SIGHUP. The log's
// level changes at once, anything else at the next start. A file with findings
// changes nothing.
type reload[T any] struct {
	program Program[T]
	path    string
	initial *T
	level   zap.AtomicLevel
	log     *zap.Logger
}

// Serve implements supervisor.Duty.
func (r *reload[T]) Serve(ctx context.Context) error {
	signalled, stop := signal.NotifyContext(ctx, syscall.SIGHUP)
	for {
		<-signalled.Done()
		// The next signal is awaited before the last is let go: with nobody
		// awaiting it, a signal would end the process.
		next, stopNext := signal.NotifyContext(ctx, syscall.SIGHUP)
		stop()
		if ctx.Err() != nil {
			stopNext()
			return ctx.Err()
		}
		signalled, stop = next, stopNext
		r.reloadSettings()
	}
}

func (r *reload[T]) reloadSettings() {
	loaded, err := r.program.Load(r.path)
	if err != nil {
		r.log.Error("settings not taken, those before stay", zap.String("file", r.path), zap.String("error", err.Error()))
		return
	}
	if level, err := zap.ParseAtomicLevel(r.program.Log(loaded).Level); err == nil {
		r.level.SetLevel(level.Level())
	}
	r.log.Info("settings read again", zap.String("file", r.path),
		zap.Bool("next_start_differs", !reflect.DeepEqual(loaded, r.initial)))
}
