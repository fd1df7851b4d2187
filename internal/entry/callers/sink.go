package callers

import (
	"net/http"
	"time"

	"kingcupcourse/internal/entry/completions"
)

// writeGrace is the time after the deadline for writing the refusal that ends
// a stream.
const writeGrace = time.Second

// sink receives the events of a stream. It relays them to a caller that asked
// for a stream and buffers them for one that asked for a complete response.
type sink struct {
	c         *call
	assembler *completions.Assembler
	// started is set once a byte of the response has been sent to the caller.
	started bool
}

func newSink(c *call) *sink { return &sink{c: c} }

// buffers reports whether the caller asked for a complete response.
func (s *sink) buffers() bool { return s.c.parsed != nil && !s.c.parsed.Stream }

// addEvent relays or buffers one event.
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

// addEnd handles the event that ends the stream.
func (s *sink) addEnd(event completions.Event) error {
	if s.buffers() {
		return nil
	}
	return s.write(event.Raw)
}

// response returns the buffered response, or nil if the events were relayed.
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

// write sends bytes to the caller and flushes them.
func (s *sink) write(raw []byte) error {
	controller := http.NewResponseController(s.c.w)
	if !s.started {
		s.started = true
		_ = controller.SetWriteDeadline(s.c.ticket.Deadline.Add(writeGrace))
		s.c.w.Header().Set("Content-Type", eventStreamType)
		s.c.w.Header().Set("Cache-Control", "no-cache")
		s.c.w.Header().Set(headerRequestID, s.c.id)
		s.c.w.WriteHeader(http.StatusOK)
	}
	if _, err := s.c.w.Write(raw); err != nil {
		return errCallerWrite
	}
	if err := controller.Flush(); err != nil {
		return errCallerWrite
	}
	return nil
}
