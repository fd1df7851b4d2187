package ring

import (
	"context"
	"errors"
	"time"
)

// Abandoner is a message whose sender waits for a reply. Reply implements it,
// so a message that embeds a Reply is an Abandoner.
type Abandoner interface {
	Abandon(err error)
}

// Loop is the body of a duty without a timer. It passes each message to handle
// until the context ends or handle returns an error. If handle panics, the
// sender of the message receives ErrAbandoned before the panic propagates to
// the supervisor.
func Loop[T any](ctx context.Context, inbox *Ring[T], handle func(T) error) error {
	return LoopUntil(ctx, inbox, handle, func() time.Time { return time.Time{} }, nil)
}

// LoopUntil is the body of a duty with a timer. next returns the time of the
// next tick, zero for none, and tick is called at that time. Both run on the
// duty's own goroutine.
func LoopUntil[T any](ctx context.Context, inbox *Ring[T], handle func(T) error,
	next func() time.Time, tick func() error) error {
	for {
		message, err := inbox.TakeUntil(ctx, next())
		switch {
		case errors.Is(err, ErrTimeout):
			err = tick()
		case err == nil:
			err = handleOrAbandon(message, handle)
		}
		if err != nil {
			return err
		}
	}
}

// handleOrAbandon abandons the message if handle panics.
func handleOrAbandon[T any](message T, handle func(T) error) error {
	done := false
	defer func() {
		if done {
			return
		}
		if abandoner, ok := any(message).(Abandoner); ok {
			abandoner.Abandon(ErrAbandoned)
		}
	}()
	err := handle(message)
	done = true
	return err
}
