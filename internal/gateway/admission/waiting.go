package admission

import "time"

const (
	// startupTime is how long after the start of the duty requests wait for the
	// configuration and the coordinators. Later another host can serve them sooner.
	startupTime = time.Second
	// maxStartupWait is how long a request waits at the most.
	maxStartupWait = 400 * time.Millisecond
	// maxWaiting bounds the requests that wait.
	maxWaiting = 256
)

// waitingRequests holds the requests that arrived on a host which has just started
// and is not ready yet. After a restart of all hosts no other host is, and a caller
// that is refused comes back after the fleet has recovered.
type waitingRequests struct {
	startedAt time.Time
	requests  []Admit
}

// add makes a request wait. It returns false if it must not.
func (w *waitingRequests) add(m Admit, now time.Time) bool {
	if now.Sub(w.startedAt) > startupTime || !now.Before(waitsUntil(m)) || len(w.requests) == maxWaiting {
		return false
	}
	w.requests = append(w.requests, m)
	return true
}

// take removes and returns all requests.
func (w *waitingRequests) take() []Admit {
	requests := w.requests
	w.requests = nil
	return requests
}

// next returns when the first request has waited long enough, zero if none waits.
func (w *waitingRequests) next() (at time.Time) {
	for _, m := range w.requests {
		if until := waitsUntil(m); at.IsZero() || until.Before(at) {
			at = until
		}
	}
	return at
}

func waitsUntil(m Admit) time.Time { return m.Received.Add(maxStartupWait) }
