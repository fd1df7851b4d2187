package platform

import (
	"context"
	"errors"
	"time"

	"golang.org/x/time/rate"

	"kingcupcourse/internal/ring"
)

var (
	errOutage      = errors.New("platform: outage")
	errRateLimited = errors.New("platform: rate limit")
	errNotFound    = errors.New("platform: no such object")
)

const (
	// maxWatches bounds how many watches may wait.
	maxWatches = 16384
	// watchChargeInterval is how often a waiting watch counts as one call.
	watchChargeInterval = time.Second
)

// store is the duty that owns the objects, the waiting watches and the
// faults.
type store struct {
	inbox         *ring.Ring[message]
	current       objects
	staleSnapshot objects
	settings      Settings
	stats         Stats
	writes        *rate.Limiter
	reads         *rate.Limiter
	watches       []watchObjects
	nextChargeAt  time.Time
}

// message is what the store duty is told or asked.
type message interface{ handle(s *store) }

func newStore(inbox *ring.Ring[message]) *store {
	return &store{
		inbox:   inbox,
		current: newObjects(),
		writes:  rate.NewLimiter(rate.Inf, 1),
		reads:   rate.NewLimiter(rate.Inf, 1),
	}
}

// Serve implements supervisor.Duty.
func (s *store) Serve(ctx context.Context) error {
	handle := func(m message) error { m.handle(s); return nil }
	tick := func() error { s.tick(time.Now()); return nil }
	return ring.LoopUntil(ctx, s.inbox, handle, s.nextTick, tick)
}

// nextTick is the first time that a watch ends or is charged.
func (s *store) nextTick() time.Time {
	if len(s.watches) == 0 {
		return time.Time{}
	}
	first := s.nextChargeAt
	for _, w := range s.watches {
		if w.deadline.Before(first) {
			first = w.deadline
		}
	}
	return first
}

func (s *store) tick(now time.Time) {
	if !now.Before(s.nextChargeAt) {
		s.nextChargeAt = now.Add(watchChargeInterval)
		for range s.watches {
			s.reads.AllowN(now, 1)
		}
	}
	s.answerWatches(now)
}

// readState is the state that reads see.
func (s *store) readState() *objects {
	if s.settings.StaleReads {
		return &s.staleSnapshot
	}
	return &s.current
}

// admit tells whether a call may be served, by the outage and its limit.
func (s *store) admit(limiter *rate.Limiter) error {
	switch {
	case s.settings.Outage:
		return errOutage
	case !limiter.AllowN(time.Now(), 1):
		s.stats.Limited++
		return errRateLimited
	}
	return nil
}

func (s *store) applySettings(changed Settings) {
	if changed.StaleReads && !s.settings.StaleReads {
		s.staleSnapshot = s.current.copy()
	}
	if changed.WritesPerSecond != s.settings.WritesPerSecond {
		s.writes = newLimiter(changed.WritesPerSecond)
	}
	if changed.ReadsPerSecond != s.settings.ReadsPerSecond {
		s.reads = newLimiter(changed.ReadsPerSecond)
	}
	s.settings = changed
	s.answerWatches(time.Now())
}

// newLimiter allows a burst of one second. Zero means no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}
