package ring

import (
	"context"
	"errors"
)

// ErrAbandoned is returned by Wait when the duty that handled the message
// crashed before it replied.
var ErrAbandoned = errors.New("ring: the duty crashed before it answered")

// Reply is a ring of capacity one for the reply to one message. The first Send
// or Abandon wins and later ones are dropped, so that the replying duty never
// blocks.
type Reply[T any] struct {
	slot chan result[T]
}

type result[T any] struct {
	value T
	err   error
}

// NewReply returns an empty reply.
func NewReply[T any]() Reply[T] {
	return Reply[T]{slot: make(chan result[T], 1)}
}

// Send replies to the message. It never blocks.
func (r Reply[T]) Send(value T) { r.offer(result[T]{value: value}) }

// Abandon replies to the message with an error. It never blocks. Loop calls it
// for the message that a duty was handling when it crashed.
func (r Reply[T]) Abandon(err error) { r.offer(result[T]{err: err}) }

func (r Reply[T]) offer(outcome result[T]) {
	if r.slot == nil {
		return
	}
	select {
	case r.slot <- outcome:
	default:
	}
}

// Wait returns the reply, or the context's error if the context ends first.
func (r Reply[T]) Wait(ctx context.Context) (T, error) {
	select {
	case outcome := <-r.slot:
		return outcome.value, outcome.err
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}
