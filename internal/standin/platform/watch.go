package platform

import (
	"slices"
	"strings"
	"time"

	"kingcupcourse/internal/ring"
)

// watchResponse is the result of a watch and the body of the response.
type watchResponse struct {
	Revision int64    `json:"revision"`
	Objects  []object `json:"objects"`

	err   error
	delay time.Duration
}

// watchObjects waits for a change to an object under a prefix.
type watchObjects struct {
	ring.Reply[watchResponse]
	id       string
	prefix   string
	after    int64
	deadline time.Time
}

func (m watchObjects) handle(s *store) {
	if err := s.admit(s.reads); err != nil {
		m.fail(s, err)
		return
	}
	s.stats.Watches++
	if s.tryAnswerWatch(m, time.Now()) {
		return
	}
	if len(s.watches) >= maxWatches {
		m.fail(s, errRateLimited)
		return
	}
	if len(s.watches) == 0 {
		s.nextChargeAt = time.Now().Add(watchChargeInterval)
	}
	s.watches = append(s.watches, m)
}

func (m watchObjects) fail(s *store, err error) {
	m.Send(watchResponse{err: err, delay: s.settings.delay()})
}

// tryAnswerWatch answers the watch if there is a change, an outage or a timeout,
// and reports whether it did.
func (s *store) tryAnswerWatch(m watchObjects, now time.Time) bool {
	if s.settings.Outage {
		m.fail(s, errOutage)
		return true
	}
	state := s.readState()
	found := state.changedSince(m.prefix, m.after)
	if len(found) == 0 && now.Before(m.deadline) {
		return false
	}
	m.Send(watchResponse{Revision: max(state.revision, m.after), Objects: emptyIfNil(found), delay: s.settings.delay()})
	return true
}

// answerWatches answers the watches that have a change or a timeout, and all
// watches in an outage.
func (s *store) answerWatches(now time.Time) {
	s.watches = slices.DeleteFunc(s.watches, func(w watchObjects) bool { return s.tryAnswerWatch(w, now) })
}

// answerWatchesForKey answers the watches whose prefix matches a changed key.
func (s *store) answerWatchesForKey(key string, now time.Time) {
	s.watches = slices.DeleteFunc(s.watches, func(w watchObjects) bool {
		return strings.HasPrefix(key, w.prefix) && s.tryAnswerWatch(w, now)
	})
}

// cancelWatch removes a watch whose caller has gone.
type cancelWatch struct{ id string }

func (m cancelWatch) handle(s *store) {
	s.watches = slices.DeleteFunc(s.watches, func(w watchObjects) bool { return w.id == m.id })
}

// emptyIfNil replaces nil by an empty list, which is [] in JSON instead of null.
func emptyIfNil(list []object) []object {
	if list == nil {
		return []object{}
	}
	return list
}
