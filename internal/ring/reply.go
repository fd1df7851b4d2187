package ring

import (
	"context"
	"errors"
)

// ErrAbandoned is what a waiter sees when the duty that held its message
// crashed before it answered.
var ErrAbandoned = errors.New("ring: the duty crashed before it answered")

// Reply is a one-slot ring for the answer to one message. The first Send or
// Abandon wins and later ones are dropped, so that a sender never waits.
type Reply[T any] struct {
	slot chan answer[T]
}

type answer[T any] struct {
	value T
	err   error
}

// NewReply returns an empty reply slot.
func NewReply[T any]() Reply[T] {
	return Reply[T]{slot: make(chan answer[T], 1)}
}

// Send answers the message. It never waits.
func (r Reply[T]) Send(value T) { r.offer(answer[T]{value: value}) }

// Abandon answers the message with an error. It never waits. Loop calls it
// for the message in hand when a duty crashes.
func (r Reply[T]) Abandon(err error) { r.offer(answer[T]{err: err}) }

func (r Reply[T]) offer(a answer[T]) {
	if r.slot == nil {
		return
	}
	select {
	case r.slot <- a:
	default:
	}
}

// Wait returns the answer, or the context's error if the context ends first.
func (r Reply[T]) Wait(ctx context.Context) (T, error) {
	select {
	case a := <-r.slot:
		return a.value, a.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}
