package completions

import (
	"io"
	"strconv"

	"github.com/rotisserie/eris"

	"kingcupcourse/internal/sse"
)

var (
	// ErrEventTooLarge is returned for an event above the size limit.
	ErrEventTooLarge = sse.ErrTooLarge
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

// IsDone tells whether this is the event that ends a stream.
func (e Event) IsDone() bool { return string(e.Data) == "[DONE]" }

// EventReader splits a stream into whole events with numbers.
type EventReader struct {
	events *sse.Reader
}

// NewEventReader returns a reader of the stream.
func NewEventReader(stream io.Reader) *EventReader {
	return &EventReader{events: sse.NewReader(stream)}
}

// Next returns the next whole event. It returns io.ErrUnexpectedEOF if the
// stream ends inside an event and io.EOF if it ends between two.
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
