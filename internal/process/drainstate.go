package process

import (
	"sync/atomic"
	"time"
)

// drainState tells since when a process drains. It is safe for concurrent use.
type drainState struct{ since atomic.Pointer[time.Time] }

func (s *drainState) begin(now time.Time) { s.since.Store(&now) }

// Since returns when the drain began, zero before.
func (s *drainState) Since() time.Time {
	if since := s.since.Load(); since != nil {
		return *since
	}
	return time.Time{}
}

// Draining reports whether the drain has begun.
func (s *drainState) Draining() bool { return s.since.Load() != nil }
