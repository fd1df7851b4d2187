package completions

import (
	"io"
	"strconv"

	"github.com/rotisserie/eris"

	"kingcupcourse/internal/sse"
)

var (
	// ErrEventTooLarge is returned for an event that exceeds the size limit.
	ErrEventTooLarge = sse.ErrTooLarge
	// ErrEventID is returned for an event whose id is not a positive number.
	ErrEventID = eris.New("server-sent event has a malformed id")
)

// Event is one complete server-sent event.
type Event struct {
	// ID counts from 1; it is zero if the event has no id.
	ID int
	// Data is the payload.
	Data []byte
	// Raw is the event as received, including its closing blank line.
	Raw []byte
}

// IsDone reports whether this is the event that ends a stream.
func (e Event) IsDone() bool { return string(e.Data) == "[DONE]" }

// EventReader reads complete numbered events from a stream.
type EventReader struct {
	events *sse.Reader
}

// NewEventReader returns a reader for the stream.
func NewEventReader(stream io.Reader) *EventReader {
	return &EventReader{events: sse.NewReader(stream, sse.MaxEventBytes)}
}

// Next returns the next complete event. It returns io.ErrUnexpectedEOF if the
// stream ends inside an event and io.EOF if it ends between events.
func (r *EventReader) Next() (Event, error) {
	event, err := r.events.Next()
	if err != nil {
		return Event{}, err
	}
	numbered := Event{Data: event.Data, Raw: event.Raw}
	if event.ID != "" {
		numbered.ID, err = strconv.Atoi(event.ID)
		if err != nil || numbered.ID < 1 {
			return Event{}, ErrEventID
		}
	}
	return numbered, nil
}
