package engine

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	kindStored  = "stored"
	kindEvicted = "evicted"
	// maxRetainedEvents is how many cache events an engine remembers. Older ones
	// are a gap.
	maxRetainedEvents = 32768
	// maxEventsPerResponse bounds the events of one answer.
	maxEventsPerResponse = 4096
)

// event is a change of the prefix cache.
type event struct {
	Seq   int64  `json:"seq"`
	Kind  string `json:"kind"`
	Block string `json:"block"`

	visibleAt time.Time
	dropped   bool
}

// eventsResponse is the body of the answer to a cache event call.
type eventsResponse struct {
	Next   int64   `json:"next"`
	Events []event `json:"events"`
}

// eventLog is the cache events of an engine, late and with gaps.
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

// since returns the visible events after a number. A number that the log
// has not reached, as after a crash, starts from the beginning.
func (l *eventLog) since(after int64, now time.Time) eventsResponse {
	if after > l.seq {
		after = 0
	}
	answer := eventsResponse{Next: after, Events: []event{}}
	first := 0
	if len(l.events) > 0 {
		first = int(max(0, after-l.events[0].Seq+1))
	}
	for _, e := range l.events[min(first, len(l.events)):] {
		if e.visibleAt.After(now) || len(answer.Events) == maxEventsPerResponse {
			break
		}
		answer.Next = e.Seq
		if !e.dropped {
			answer.Events = append(answer.Events, e)
		}
	}
	return answer
}

// reset forgets everything; numbers start again.
func (l *eventLog) reset() {
	l.seq = 0
	l.events = nil
}
