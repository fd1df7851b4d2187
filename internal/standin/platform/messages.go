package platform

import (
	"encoding/json"
	"time"

	"kingcupcourse/internal/ring"
)

// getResult is the result of a read.
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
	result := getResult{err: s.admit(s.reads), delay: s.settings.delay()}
	if result.err == nil {
		s.stats.Reads++
		found, ok := s.readState().byKey[m.key]
		if !ok {
			result.err = errNotFound
		}
		result.object = found
	}
	m.Send(result)
}

// putResult is the result of a write.
type putResult struct {
	version  int64
	conflict bool
	// dropped means that the caller must get no response.
	dropped bool
	err     error
	delay   time.Duration
}

// putObject writes one object if its version equals ifVersion.
type putObject struct {
	ring.Reply[putResult]
	key       string
	ifVersion int64
	value     json.RawMessage
}

func (m putObject) handle(s *store) {
	result := putResult{err: s.admit(s.writes), delay: s.settings.delay()}
	if result.err == nil {
		s.write(m, &result)
	}
	m.Send(result)
}

func (s *store) write(m putObject, result *putResult) {
	s.stats.Writes++
	version, ok := s.current.put(m.key, m.ifVersion, m.value)
	result.version, result.conflict = version, !ok
	if !ok {
		s.stats.Conflicts++
		return
	}
	if s.settings.DropResponses > 0 {
		s.settings.DropResponses--
		result.dropped = true
	}
	s.answerWatchesForKey(m.key, time.Now())
}

// patchSettings applies a JSON patch to the faults.
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
