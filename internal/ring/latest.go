package ring

import (
	"context"
	"sync"
)

// Latest is a ring of capacity one in which a new value replaces one that has
// not been taken yet. It carries state that is published as a whole, such as a
// configuration, of which only the newest version matters.
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

// Publish replaces the value in the ring. It never blocks.
func (l *Latest[T]) Publish(value T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.value, l.full = value, true
	select {
	case l.signal <- struct{}{}:
	default:
	}
}

// Take removes and returns the newest value, waiting while there is none. It
// returns the context's error if the context ends first.
func (l *Latest[T]) Take(ctx context.Context) (T, error) {
	for {
		if value, ok := l.TryTake(); ok {
			return value, nil
		}
		select {
		case <-l.signal:
		case <-ctx.Done():
			var zero T
			return zero, ctx.Err()
		}
	}
}

// TryTake removes and returns the newest value, or returns false if there is
// none that has not been taken yet.
func (l *Latest[T]) TryTake() (value T, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.full {
		return value, false
	}
	l.full = false
	return l.value, true
}
