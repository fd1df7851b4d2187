package poison

import "time"

const (
	// answeredMemory is how long an answer shows that a part of its prompt crashes no
	// endpoints. It ends, since what runs on the endpoints may change.
	answeredMemory = time.Minute
	// maxAnswered limits the parts in each half of the memory.
	maxAnswered = 2048
)

// answeredParts remembers which parts of prompts have been answered lately. When the
// current half is full it becomes the previous one, which is dropped.
type answeredParts struct {
	current, previous map[string]time.Time
}

func newAnsweredParts() answeredParts { return answeredParts{current: map[string]time.Time{}} }

// add records an answer, unless a later one is known.
func (a *answeredParts) add(part string, at time.Time) {
	last, known := a.current[part]
	if last.After(at) {
		return
	}
	if !known && len(a.current) == maxAnswered {
		a.current, a.previous = map[string]time.Time{}, a.current
	}
	a.current[part] = at
}

// lately reports whether the part was answered within answeredMemory.
func (a *answeredParts) lately(part string, now time.Time) bool {
	at, known := a.current[part]
	if !known {
		at, known = a.previous[part]
	}
	return known && now.Sub(at) < answeredMemory
}
