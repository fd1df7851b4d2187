package platform

import (
	"slices"
	"strings"
	"time"

	"kingcupcourse/internal/ring"
)

// watchAnswer is the answer to a watch and the body of the response.
type watchAnswer struct {
	Revision int64    `json:"revision"`
	Objects  []object `json:"objects"`

	err   error
	delay time.Duration
}

// watchAsked waits for a change under a prefix.
type watchAsked struct {
	ring.Reply[watchAnswer]
	id       string
	prefix   string
	after    int64
	deadline time.Time
}

func (m watchAsked) handle(s *store) {
	if err := s.admit(s.reads); err != nil {
		m.fail(s, err)
		return
	}
	s.stats.Watches++
	if s.answer(m, time.Now()) {
		return
	}
	if len(s.watches) >= maxWatches {
		m.fail(s, errLimited)
		return
	}
	if len(s.watches) == 0 {
		s.chargeAt = time.Now().Add(watchCharge)
	}
	s.watches = append(s.watches, m)
}

func (m watchAsked) fail(s *store, err error) {
	m.Send(watchAnswer{err: err, delay: s.settings.delay()})
}

// answer answers the watch if there is a reason to, and tells whether it did.
func (s *store) answer(m watchAsked, now time.Time) bool {
	if s.settings.Outage {
		m.fail(s, errOutage)
		return true
	}
	state := s.visible()
	found := state.changed(m.prefix, m.after)
	if len(found) == 0 && now.Before(m.deadline) {
		return false
	}
	m.Send(watchAnswer{Revision: max(state.revision, m.after), Objects: nonNil(found), delay: s.settings.delay()})
	return true
}

// answerWatches answers all watches that have a reason to be answered.
func (s *store) answerWatches(now time.Time) {
	s.watches = slices.DeleteFunc(s.watches, func(w watchAsked) bool { return s.answer(w, now) })
}

// answerWatchesOf answers the watches that the new object concerns.
func (s *store) answerWatchesOf(key string, now time.Time) {
	s.watches = slices.DeleteFunc(s.watches, func(w watchAsked) bool {
		return strings.HasPrefix(key, w.prefix) && s.answer(w, now)
	})
}

// watchLeft says that the caller of a watch is gone.
type watchLeft struct{ id string }

func (m watchLeft) handle(s *store) {
	s.watches = slices.DeleteFunc(s.watches, func(w watchAsked) bool { return w.id == m.id })
}

// nonNil makes an empty list of none, so that JSON has [] and not null.
func nonNil(list []object) []object {
	if list == nil {
		return []object{}
	}
	return list
}
