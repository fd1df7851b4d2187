package sse

import (
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
