// Package ring provides the bounded queue that joins two duties.
//
// A duty is a goroutine that owns its state. Duties share nothing and meet
// only at rings. A ring holds a fixed number of messages: a full ring makes
// its producer wait (Put) or refuses the message (TryPut), so that memory
// stays bounded and overload becomes a visible decision.
package ring

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrFull is returned by TryPut when the ring holds its capacity.
	ErrFull = errors.New("ring: full")
	// ErrTimeout is returned by TakeUntil when the deadline passes first.
	ErrTimeout = errors.New("ring: timeout")
)

// Ring is a bounded first-in-first-out queue. It may have many producers and
// is taken from by the one duty that owns it. All methods are safe for
// concurrent use.
type Ring[T any] struct {
	buffer chan T
	stats  *stats
}

// New returns a ring that holds at most capacity messages. The name labels
// the depth and refusal metrics; rings with equal names share the labels.
func New[T any](name string, capacity int) *Ring[T] {
	r := &Ring[T]{buffer: make(chan T, capacity), stats: statsFor(name)}
	r.stats.register(func() int { return len(r.buffer) })
	return r
}

// Put adds a message, waiting for room. It returns the context's error if
// the context ends first; the message is then not in the ring.
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

// TryPut adds a message without waiting. It returns ErrFull if there is no
// room; the message is then not in the ring.
func (r *Ring[T]) TryPut(message T) error {
	select {
	case r.buffer <- message:
		return nil
	default:
		r.stats.countRefused()
		return ErrFull
	}
}

// Take removes the oldest message, waiting for one. It returns the context's
// error if the context ends first.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case message := <-r.buffer:
		return message, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// TryTake removes the oldest message if there is one.
func (r *Ring[T]) TryTake() (message T, ok bool) {
	select {
	case message = <-r.buffer:
		return message, true
	default:
		return message, false
	}
}

// TakeUntil removes the oldest message, waiting until the deadline at most.
// It returns ErrTimeout at the deadline and the context's error if the
// context ends first. A zero deadline waits without limit.
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
		var none T
		return none, ErrTimeout
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// Len returns how many messages are waiting.
func (r *Ring[T]) Len() int { return len(r.buffer) }

// Cap returns how many messages the ring can hold.
func (r *Ring[T]) Cap() int { return cap(r.buffer) }
