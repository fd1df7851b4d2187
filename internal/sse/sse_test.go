package sse

import (
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// The count must not depend on how the stream is split into chunks.
func TestCounter(t *testing.T) {
	const stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n\n\nid: 3\ndata: c\n\nid: 4\ndata"
	rapid.Check(t, func(t *rapid.T) {
		var counter Counter
		for rest := []byte(stream); len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "part")
			counter.Add(rest[:n])
			rest = rest[n:]
		}
		if counter.Events != 3 || !counter.InEvent() {
			t.Fatalf("%d events, inside an event: %v, want 3 and inside the fourth", counter.Events, counter.InEvent())
		}
	})
}

// Guards against a stream with an event without end that is kept in memory: the
// Reader ends at its limit, and an event up to the limit is whole.
func TestReaderEndsAtItsLimit(t *testing.T) {
	const limit = 1000
	whole := "data: " + strings.Repeat("a", limit-8) + "\n\n"
	if event, err := NewReader(strings.NewReader(whole), limit).Next(); err != nil || string(event.Raw) != whole {
		t.Errorf("%d bytes, error %v, want the whole event of %d bytes", len(event.Raw), err, len(whole))
	}
	for _, endless := range []string{"data: " + strings.Repeat("a", 9*limit), strings.Repeat("data: a\n", limit)} {
		if _, err := NewReader(strings.NewReader(endless), limit).Next(); !errors.Is(err, ErrTooLarge) {
			t.Errorf("error %v, want ErrTooLarge", err)
		}
	}
}
