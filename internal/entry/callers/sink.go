package callers

import (
	"net/http"
	"time"

	"kingcupcourse/internal/entry/completions"
)

// writeGrace is how long after the deadline the refusal that ends a stream
// may take to be written.
const writeGrace = time.Second

// sink takes the events of a stream: it passes them to a caller that asked
// for a stream and collects them for one that asked for a whole answer.
type sink struct {
	c         *call
	assembler *completions.Assembler
	// passed tells that a byte of the answer has gone to the caller.
	passed bool
}

func newSink(c *call) *sink { return &sink{c: c} }

// collects tells whether the caller asked for a whole answer.
func (s *sink) collects() bool { return s.c.parsed != nil && !s.c.parsed.Stream }

// event takes one event.
func (s *sink) event(event completions.Event) error {
	if !s.collects() {
		return s.write(event.Raw)
	}
	if event.ID == 1 || s.assembler == nil {
		s.assembler = completions.NewAssembler(*s.c.parsed)
	}
	if s.assembler.Add(event.Data) != nil {
		return errMalformed
	}
	return nil
}

// end takes the event that ends the stream.
func (s *sink) end(event completions.Event) error {
	if s.collects() {
		return nil
	}
	return s.write(event.Raw)
}

// whole returns the collected answer, or nil if it was passed on by events.
func (s *sink) whole() (*answer, error) {
	if !s.collects() || s.assembler == nil {
		return nil, nil
	}
	body, err := s.assembler.Answer()
	if err != nil {
		return nil, err
	}
	header := http.Header{"Content-Type": {"application/json"}}
	return &answer{status: http.StatusOK, header: header, body: body}, nil
}

// write passes bytes to the caller at once.
func (s *sink) write(raw []byte) error {
	connection := http.NewResponseController(s.c.w)
	if !s.passed {
		s.passed = true
		_ = connection.SetWriteDeadline(s.c.ticket.Deadline.Add(writeGrace))
		s.c.w.Header().Set("Content-Type", eventStream)
		s.c.w.Header().Set("Cache-Control", "no-cache")
		s.c.w.Header().Set(headerRequestID, s.c.id)
		s.c.w.WriteHeader(http.StatusOK)
	}
	if _, err := s.c.w.Write(raw); err != nil {
		return errCallerWrite
	}
	if err := connection.Flush(); err != nil {
		return errCallerWrite
	}
	return nil
}
