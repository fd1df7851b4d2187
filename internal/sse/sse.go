// Package sse splits a stream of server-sent events into whole events, so that
// one that was cut half way is never seen.
package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/rotisserie/eris"
)

// MaxEventBytes bounds one event.
const MaxEventBytes = 1 << 20

// ErrTooLarge is returned for an event above the size limit.
var ErrTooLarge = eris.New("server-sent event is too large")

// Event is one whole event.
type Event struct {
	// ID is the text of its id, empty if it has none.
	ID string
	// Data is the payload.
	Data []byte
	// Raw is the event as it came, with its closing blank line.
	Raw []byte
}

// Reader reads events from a stream.
type Reader struct {
	lines *bufio.Reader
}

// NewReader returns a reader of the stream.
func NewReader(stream io.Reader) *Reader { return &Reader{lines: bufio.NewReader(stream)} }

// Next returns the next whole event. It returns io.ErrUnexpectedEOF if the
// stream ends inside an event and io.EOF if it ends between two.
func (r *Reader) Next() (Event, error) {
	var raw []byte
	lineAt := 0 // where the line in hand begins
	for {
		part, err := r.lines.ReadSlice('\n')
		raw = append(raw, part...)
		switch {
		case len(raw) > MaxEventBytes:
			return Event{}, ErrTooLarge
		case err == bufio.ErrBufferFull:
			continue // the line is longer than the buffer
		case err == io.EOF && len(raw) > 0:
			return Event{}, io.ErrUnexpectedEOF
		case err != nil:
			return Event{}, err
		}
		blank := len(bytes.TrimRight(raw[lineAt:], "\r\n")) == 0
		switch {
		case blank && lineAt > 0:
			return parse(raw), nil
		case blank: // blank line between events
			raw = nil
		default:
			lineAt = len(raw)
		}
	}
}

func parse(raw []byte) Event {
	event := Event{Raw: raw}
	for line := range bytes.Lines(raw) {
		line = bytes.TrimRight(line, "\r\n")
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			event.Data = append(event.Data, bytes.TrimPrefix(data, []byte(" "))...)
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			event.ID = string(bytes.TrimSpace(id))
		}
	}
	return event
}

// Counter counts the events in the parts of a stream. It sees the end of an
// event that is spread over two parts.
type Counter struct {
	// Events is how many events have ended.
	Events int

	inLine, inEvent bool
}

// Add counts the events that end in the next part.
func (c *Counter) Add(part []byte) {
	for _, b := range part {
		switch {
		case b == '\r':
		case b != '\n':
			c.inLine, c.inEvent = true, true
		case c.inLine:
			c.inLine = false
		case c.inEvent: // a blank line
			c.inEvent = false
			c.Events++
		}
	}
}
