package completions

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

var (
	// ErrEventTooLarge is returned for an event above the size limit.
	ErrEventTooLarge = eris.New("server-sent event is too large")
	// ErrEventID is returned for an event whose id is not a number.
	ErrEventID = eris.New("server-sent event has a malformed id")
)

// Event is one whole server-sent event.
type Event struct {
	// ID counts from 1; zero if the event has none.
	ID int
	// Data is the payload.
	Data []byte
	// Raw is the event as it came, with its closing blank line.
	Raw []byte
}

// Done tells whether this is the event that ends a stream.
func (e Event) Done() bool { return string(e.Data) == "[DONE]" }

// EventReader splits a stream into whole events, so that an event that was
// cut half way is never seen.
type EventReader struct {
	lines *bufio.Reader
}

// NewEventReader returns a reader of the stream.
func NewEventReader(stream io.Reader) *EventReader {
	return &EventReader{lines: bufio.NewReader(stream)}
}

// Next returns the next whole event. It returns io.ErrUnexpectedEOF if the
// stream ends inside an event and io.EOF if it ends between two.
func (r *EventReader) Next() (Event, error) {
	var event Event
	for {
		line, err := r.lines.ReadSlice('\n')
		event.Raw = append(event.Raw, line...)
		switch {
		case len(event.Raw) > maxEventBytes:
			return Event{}, ErrEventTooLarge
		case err == bufio.ErrBufferFull:
			return r.long(event)
		case err == io.EOF && len(event.Raw) > 0:
			return Event{}, io.ErrUnexpectedEOF
		case err != nil:
			return Event{}, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			if len(event.Raw) == len(line) { // blank line between events
				event.Raw = nil
				continue
			}
			return parse(event.Raw)
		}
	}
}

// long goes on reading an event one line of which exceeds the read buffer.
func (r *EventReader) long(event Event) (Event, error) {
	for {
		line, err := r.lines.ReadSlice('\n')
		event.Raw = append(event.Raw, line...)
		switch {
		case len(event.Raw) > maxEventBytes:
			return Event{}, ErrEventTooLarge
		case err == io.EOF:
			return Event{}, io.ErrUnexpectedEOF
		case err != nil && err != bufio.ErrBufferFull:
			return Event{}, err
		}
		if bytes.HasSuffix(event.Raw, []byte("\n\n")) || bytes.HasSuffix(event.Raw, []byte("\n\r\n")) {
			return parse(event.Raw)
		}
	}
}

func parse(raw []byte) (Event, error) {
	event := Event{Raw: raw}
	for line := range bytes.Lines(raw) {
		line = bytes.TrimRight(line, "\r\n")
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			event.Data = append(event.Data, bytes.TrimPrefix(data, []byte(" "))...)
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			number, err := strconv.Atoi(string(bytes.TrimSpace(id)))
			if err != nil || number < 1 {
				return Event{}, ErrEventID
			}
			event.ID = number
		}
	}
	return event, nil
}
