package platform

import (
	"encoding/json"
	"time"

	"kingcupcourse/internal/ring"
)

// getResult is the answer to a read.
type getResult struct {
	object object
	err    error
	delay  time.Duration
}

// getObject reads one object.
type getObject struct {
	ring.Reply[getResult]
	key string
}

func (m getObject) handle(s *store) {
	answer := getResult{err: s.admit(s.reads), delay: s.settings.delay()}
	if answer.err == nil {
		s.stats.Reads++
		found, ok := s.readState().byKey[m.key]
		if !ok {
			answer.err = errNotFound
		}
		answer.object = found
	}
	m.Send(answer)
}

// putResult is the answer to a write.
type putResult struct {
	version  int64
	conflict bool
	// dropped means that the caller must not learn the answer.
	dropped bool
	err     error
	delay   time.Duration
}

// putObject writes one object if it has the version expected.
type putObject struct {
	ring.Reply[putResult]
	key       string
	ifVersion int64
	value     json.RawMessage
}

func (m putObject) handle(s *store) {
	answer := putResult{err: s.admit(s.writes), delay: s.settings.delay()}
	if answer.err == nil {
		s.write(m, &answer)
	}
	m.Send(answer)
}

func (s *store) write(m putObject, answer *putResult) {
	s.stats.Writes++
	version, ok := s.current.put(m.key, m.ifVersion, m.value)
	answer.version, answer.conflict = version, !ok
	if !ok {
		s.stats.Conflicts++
		return
	}
	if s.settings.DropResponses > 0 {
		s.settings.DropResponses--
		answer.dropped = true
	}
	s.answerWatchesForKey(m.key, time.Now())
}

// patchSettings changes the faults by a JSON order.
type patchSettings struct {
	ring.Reply[error]
	patch []byte
}

func (m patchSettings) handle(s *store) {
	changed, err := s.settings.merge(m.patch)
	if err == nil {
		s.applySettings(changed)
	}
	m.Send(err)
}

// getStats reads the counters.
type getStats struct{ ring.Reply[Stats] }

func (m getStats) handle(s *store) { m.Send(s.stats) }
