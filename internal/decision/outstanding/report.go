package outstanding

import "time"

const (
	// reportTimeout is how long a load report counts.
	reportTimeout = 3 * time.Second
	// reportBlur is how far the time of a load report and the own count may
	// differ; the highest own count within it is compared.
	reportBlur = 500 * time.Millisecond
	// historyLength is how many changes of a count are remembered.
	historyLength = 64
)

// Report is what an endpoint says of its load, as it was at AsOf.
type Report struct {
	AsOf time.Time
	// Present is how many requests run and wait on the endpoint.
	Present int
	// Received is when the report arrived.
	Received time.Time
}

// Reported notes a load report.
func (b *Book) Reported(name string, r Report) { b.endpoint(name).report = r }

// Foreign returns how many requests the newest load report shows beyond the
// own count at its time: work that others placed on the endpoint.
func (b *Book) Foreign(name string, now time.Time) int {
	e := b.endpoint(name)
	if e.report.Received.IsZero() || now.Sub(e.report.Received) > reportTimeout {
		return 0
	}
	own := e.history.highest(e.report.AsOf.Add(-reportBlur), e.report.AsOf.Add(reportBlur))
	return max(0, e.report.Present-own)
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

func (h *history) note(at time.Time, count int) {
	h.changes[h.next] = change{at, count}
	h.next = (h.next + 1) % historyLength
	h.length = min(h.length+1, historyLength)
}

// highest returns the highest count between two times. Before the oldest
// change that is remembered, it takes the count from then.
func (h *history) highest(from, to time.Time) int {
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
