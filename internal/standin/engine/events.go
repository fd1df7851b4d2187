package engine

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	kindStored  = "stored"
	kindEvicted = "evicted"
	// maxRetainedEvents is the number of cache events that an engine keeps.
	// Older events show up as a gap.
	maxRetainedEvents = 32768
	// maxEventsPerResponse limits the number of events in a response.
	maxEventsPerResponse = 4096
)

// event is a change to the prefix cache.
type event struct {
	Seq   int64  `json:"seq"`
	Kind  string `json:"kind"`
	Block string `json:"block"`

	visibleAt time.Time
	dropped   bool
}

// eventsResponse is the body of the response to a cache event call.
type eventsResponse struct {
	Next   int64   `json:"next"`
	Events []event `json:"events"`
}

// eventLog holds the cache events of an engine. It shows them with a delay and
// with gaps.
type eventLog struct {
	delay   time.Duration
	gapRate float64
	rng     *rand.Rand
	seq     int64
	events  []event
}

func (l *eventLog) add(kind string, block uint64) {
	l.seq++
	l.events = append(l.events, event{
		Seq:       l.seq,
		Kind:      kind,
		Block:     fmt.Sprintf("%016x", block),
		visibleAt: time.Now().Add(l.delay),
		dropped:   l.gapRate > 0 && l.rng.Float64() < l.gapRate,
	})
	if len(l.events) >= 2*maxRetainedEvents {
		l.events = append([]event(nil), l.events[len(l.events)-maxRetainedEvents:]...)
	}
}

// since returns the visible events with a sequence number above after. If the
// log has not reached that number, as after a crash, it starts from the
// beginning.
func (l *eventLog) since(after int64, now time.Time) eventsResponse {
	if after > l.seq {
		after = 0
	}
	response := eventsResponse{Next: after, Events: []event{}}
	first := 0
	if len(l.events) > 0 {
		first = int(max(0, after-l.events[0].Seq+1))
	}
	for _, e := range l.events[min(first, len(l.events)):] {
		if e.visibleAt.After(now) || len(response.Events) == maxEventsPerResponse {
			break
		}
		response.Next = e.Seq
		if !e.dropped {
			response.Events = append(response.Events, e)
		}
	}
	return response
}

// reset removes all events and restarts the sequence numbers.
func (l *eventLog) reset() {
	l.seq = 0
	l.events = nil
}
