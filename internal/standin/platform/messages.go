package platform

import (
	"encoding/json"
	"time"

	"kingcupcourse/internal/ring"
)

// readAnswer is the answer to a read.
type readAnswer struct {
	object object
	err    error
	delay  time.Duration
}

// readAsked reads one object.
type readAsked struct {
	ring.Reply[readAnswer]
	key string
}

func (m readAsked) handle(s *store) {
	answer := readAnswer{err: s.admit(s.reads), delay: s.settings.delay()}
	if answer.err == nil {
		s.stats.Reads++
		found, ok := s.visible().byKey[m.key]
		if !ok {
			answer.err = errNone
		}
		answer.object = found
	}
	m.Send(answer)
}

// writeAnswer is the answer to a write.
type writeAnswer struct {
	version  int64
	conflict bool
	// lost means that the caller must not learn the answer.
	lost  bool
	err   error
	delay time.Duration
}

// writeAsked writes one object if it has the version expected.
type writeAsked struct {
	ring.Reply[writeAnswer]
	key      string
	expected int64
	value    json.RawMessage
}

func (m writeAsked) handle(s *store) {
	answer := writeAnswer{err: s.admit(s.writes), delay: s.settings.delay()}
	if answer.err == nil {
		s.write(m, &answer)
	}
	m.Send(answer)
}

func (s *store) write(m writeAsked, answer *writeAnswer) {
	s.stats.Writes++
	version, ok := s.live.put(m.key, m.expected, m.value)
	answer.version, answer.conflict = version, !ok
	if !ok {
		s.stats.Conflicts++
		return
	}
	if s.settings.LoseAnswers > 0 {
		s.settings.LoseAnswers--
		answer.lost = true
	}
	s.answerWatchesOf(m.key, time.Now())
}

// faultOrdered changes the faults by a JSON order.
type faultOrdered struct {
	ring.Reply[error]
	order []byte
}

func (m faultOrdered) handle(s *store) {
	changed, err := s.settings.merge(m.order)
	if err == nil {
		s.apply(changed)
	}
	m.Send(err)
}

// statsAsked reads the counters.
type statsAsked struct{ ring.Reply[Stats] }

func (m statsAsked) handle(s *store) { m.Send(s.stats) }
