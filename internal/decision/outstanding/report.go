package outstanding

import "time"

const (
	// reportTimeout is how long a load report counts.
	reportTimeout = 3 * time.Second
	// reportTimeTolerance is how far the time of a load report and the own count may
	// differ; the highest own count within it is compared.
	reportTimeTolerance = 500 * time.Millisecond
	// historyLength is how many changes of a count are remembered.
	historyLength = 64
)

// LoadReport is what an endpoint says of its load, as it was at AsOf.
type LoadReport struct {
	AsOf time.Time
	// Requests is how many requests run and wait on the endpoint.
	Requests int
	// Received is when the report arrived.
	Received time.Time
}

// SetLoadReport notes a load report.
func (b *Tracker) SetLoadReport(name string, r LoadReport) { b.endpoint(name).report = r }

// Untracked returns how many requests the newest load report shows beyond the
// own count at its time: work that others placed on the endpoint.
func (b *Tracker) Untracked(name string, now time.Time) int {
	e := b.endpoint(name)
	if e.report.Received.IsZero() || now.Sub(e.report.Received) > reportTimeout {
		return 0
	}
	own := e.history.maxCount(e.report.AsOf.Add(-reportTimeTolerance), e.report.AsOf.Add(reportTimeTolerance))
	return max(0, e.report.Requests-own)
}

// history holds the newest changes of a count, the oldest first.
type history struct {
	changes [historyLength]change
	length  int
	next    int
}

type change struct {
	at    time.Time
	count int
}

func (h *history) record(at time.Time, count int) {
	h.changes[h.next] = change{at, count}
	h.next = (h.next + 1) % historyLength
	h.length = min(h.length+1, historyLength)
}

// maxCount returns the maxCount count between two times. Before the oldest
// change that is remembered, it takes the count from then.
func (h *history) maxCount(from, to time.Time) int {
	highest := 0
	if h.length == historyLength {
		highest = h.changes[h.next].count
	}
	for i := range h.length {
		c := h.changes[(h.next-h.length+i+historyLength)%historyLength]
		switch {
		case c.at.After(to):
			return highest
		case c.at.Before(from):
			highest = c.count
		default:
			highest = max(highest, c.count)
		}
	}
	return highest
}
