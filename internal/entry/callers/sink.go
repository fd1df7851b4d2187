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
	// started tells that a byte of the answer has gone to the caller.
	started bool
}

func newSink(c *call) *sink { return &sink{c: c} }

// buffers tells whether the caller asked for a whole answer.
func (s *sink) buffers() bool { return s.c.parsed != nil && !s.c.parsed.Stream }

// addEvent takes one addEvent.
func (s *sink) addEvent(event completions.Event) error {
	if !s.buffers() {
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

// addEnd takes the event that ends the stream.
func (s *sink) addEnd(event completions.Event) error {
	if s.buffers() {
		return nil
	}
	return s.write(event.Raw)
}

// response returns the collected answer, or nil if it was passed on by events.
func (s *sink) response() (*bufferedResponse, error) {
	if !s.buffers() || s.assembler == nil {
		return nil, nil
	}
	body, err := s.assembler.Response()
	if err != nil {
		return nil, err
	}
	header := http.Header{"Content-Type": {"application/json"}}
	return &bufferedResponse{status: http.StatusOK, header: header, body: body}, nil
}

// write passes bytes to the caller at once.
func (s *sink) write(raw []byte) error {
	connection := http.NewResponseController(s.c.w)
	if !s.started {
		s.started = true
		_ = connection.SetWriteDeadline(s.c.ticket.Deadline.Add(writeGrace))
		s.c.w.Header().Set("Content-Type", eventStreamType)
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
