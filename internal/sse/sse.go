// Package sse splits a stream of server-sent events into complete events, so
// that a truncated event is never delivered.
package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/rotisserie/eris"
)

// MaxEventBytes limits the size of one event of a completion.
const MaxEventBytes = 1 << 20

// ErrTooLarge is returned for an event larger than the limit of the Reader.
var ErrTooLarge = eris.New("server-sent event is too large")

// Event is one complete event.
type Event struct {
	// ID is the value of the id field, empty if there is none.
	ID string
	// Data is the value of the data fields.
	Data []byte
	// Raw is the event as received, with the blank line that ends it.
	Raw []byte
}

// Reader reads events from a stream.
type Reader struct {
	lines         *bufio.Reader
	maxEventBytes int
}

// NewReader returns a reader of the stream. It keeps an event of at most
// maxEventBytes bytes.
func NewReader(stream io.Reader, maxEventBytes int) *Reader {
	return &Reader{lines: bufio.NewReader(stream), maxEventBytes: maxEventBytes}
}

// Next returns the next complete event. It returns io.ErrUnexpectedEOF if the
// stream ends inside an event, io.EOF if it ends between events, and ErrTooLarge for
// an event above the limit.
func (r *Reader) Next() (Event, error) {
	var raw []byte
	lineStart := 0 // offset of the current line in raw
	for {
		part, err := r.lines.ReadSlice('\n')
		raw = append(raw, part...)
		switch {
		case len(raw) > r.maxEventBytes:
			return Event{}, ErrTooLarge
		case err == bufio.ErrBufferFull:
			continue // the line is longer than the read buffer
		case err == io.EOF && len(raw) > 0:
			return Event{}, io.ErrUnexpectedEOF
		case err != nil:
			return Event{}, err
		}
		blank := len(bytes.TrimRight(raw[lineStart:], "\r\n")) == 0
		switch {
		case blank && lineStart > 0:
			return parse(raw), nil
		case blank: // blank line between events
			raw = raw[:0]
		default:
			lineStart = len(raw)
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

// Counter counts the events of a stream that is received in chunks. An event may
// span several chunks.
type Counter struct {
	// Events is the number of complete events so far.
	Events int

	inLine, inEvent bool
}

// InEvent reports whether the stream is inside an event that is not complete.
func (c *Counter) InEvent() bool { return c.inEvent }

// Add counts the events that end in the next chunk.
func (c *Counter) Add(chunk []byte) {
	for _, b := range chunk {
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
