package process

import (
	"context"
	"os/signal"
	"reflect"
	"syscall"

	"go.uber.org/zap"
)

// reload is the duty that reloads the settings file on SIGHUP. A new log level
// takes effect at once, any other change at the next start. An invalid file
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
	received, stop := signal.NotifyContext(ctx, syscall.SIGHUP)
	for {
		<-received.Done()
		// The handler of the next signal is installed before this one is
		// removed: a SIGHUP without a handler would end the process.
		next, stopNext := signal.NotifyContext(ctx, syscall.SIGHUP)
		stop()
		if ctx.Err() != nil {
			stopNext()
			return ctx.Err()
		}
		received, stop = next, stopNext
		r.reloadSettings()
	}
}

func (r *reload[T]) reloadSettings() {
	loaded, err := r.program.Load(r.path)
	if err != nil {
		r.log.Error("settings reload failed, keeping the previous settings",
			zap.String("file", r.path), zap.String("error", err.Error()))
		return
	}
	if level, err := zap.ParseAtomicLevel(r.program.Log(loaded).Level); err == nil {
		r.level.SetLevel(level.Level())
	}
	r.log.Info("settings reloaded", zap.String("file", r.path),
		zap.Bool("next_start_differs", !reflect.DeepEqual(loaded, r.initial)))
}
