package ring

import (
	"context"
	"sync"
)

// Latest is a ring of capacity one in which a newer message replaces an
// older one that has not been taken: for state that is published whole, such
// as a configuration, where only the newest counts.
type Latest[T any] struct {
	mu     sync.Mutex
	value  T
	full   bool
	signal chan struct{}
}

// NewLatest returns an empty ring.
func NewLatest[T any]() *Latest[T] {
	return &Latest[T]{signal: make(chan struct{}, 1)}
}

// Publish replaces what waits in the ring. It never waits.
func (l *Latest[T]) Publish(value T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.value, l.full = value, true
	select {
	case l.signal <- struct{}{}:
	default:
	}
}

// Take removes the newest message, waiting for one. It returns the context's
// error if the context ends first.
func (l *Latest[T]) Take(ctx context.Context) (T, error) {
	for {
		if value, ok := l.TryTake(); ok {
			return value, nil
		}
		select {
		case <-l.signal:
		case <-ctx.Done():
			var none T
			return none, ctx.Err()
		}
	}
}

// TryTake removes the newest message if there is one that was not yet taken.
func (l *Latest[T]) TryTake() (value T, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.full {
		return value, false
	}
	l.full = false
	return l.value, true
}
