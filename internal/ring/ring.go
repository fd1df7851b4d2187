// Package ring provides the bounded queue that joins two duties.
//
// A duty is a goroutine that owns its state. Duties share no mutable state and
// communicate only through rings. A ring holds a fixed number of messages: a
// full ring blocks its producer (Put) or rejects the message (TryPut), so that
// memory stays bounded and every caller handles overload explicitly.
package ring

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrFull is returned by TryPut when the ring is full.
	ErrFull = errors.New("ring: full")
	// ErrTimeout is returned by TakeUntil when the deadline passes first.
	ErrTimeout = errors.New("ring: timeout")
)

// Ring is a bounded first-in-first-out queue with any number of producers and
// one consumer, the duty that owns it. All methods are safe for concurrent
// use.
type Ring[T any] struct {
	buffer chan T
	stats  *stats
}

// New returns a ring that holds at most capacity messages. The name labels
// its metrics; rings of the same name are counted together.
func New[T any](name string, capacity int) *Ring[T] {
	r := &Ring[T]{buffer: make(chan T, capacity), stats: statsFor(name)}
	r.stats.register(func() int { return len(r.buffer) })
	return r
}

// Put adds a message, waiting while the ring is full. It returns the context's
// error, without adding the message, if the context ends first.
func (r *Ring[T]) Put(ctx context.Context, message T) error {
	select {
	case r.buffer <- message:
		return nil
	default:
	}
	r.stats.countWaited()
	select {
	case r.buffer <- message:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TryPut adds a message without waiting. It returns ErrFull, without adding
// the message, if the ring is full.
func (r *Ring[T]) TryPut(message T) error {
	select {
	case r.buffer <- message:
		return nil
	default:
		r.stats.countRefused()
		return ErrFull
	}
}

// Take removes and returns the oldest message, waiting while the ring is
// empty. It returns the context's error if the context ends first.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case message := <-r.buffer:
		return message, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// TryTake removes and returns the oldest message, or returns false if the ring
// is empty.
func (r *Ring[T]) TryTake() (message T, ok bool) {
	select {
	case message = <-r.buffer:
		return message, true
	default:
		return message, false
	}
}

// TakeUntil removes and returns the oldest message, waiting until the deadline
// at most. It returns ErrTimeout at the deadline, and the context's error if
// the context ends first. A zero deadline means no limit.
func (r *Ring[T]) TakeUntil(ctx context.Context, deadline time.Time) (T, error) {
	if deadline.IsZero() {
		return r.Take(ctx)
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case message := <-r.buffer:
		return message, nil
	case <-timer.C:
		var zero T
		return zero, ErrTimeout
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Len returns the number of messages in the ring.
func (r *Ring[T]) Len() int { return len(r.buffer) }

// Cap returns the capacity of the ring.
func (r *Ring[T]) Cap() int { return cap(r.buffer) }
