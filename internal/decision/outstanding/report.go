package outstanding

import "time"

const (
	// reportTimeout is how long a load report is used.
	reportTimeout = 3 * time.Second
	// reportTimeTolerance is how far the times of a load report and of the
	// tracked count may differ. The report is compared with the highest
	// tracked count within it.
	reportTimeTolerance = 500 * time.Millisecond
	// historyLength is how many changes of a count are kept.
	historyLength = 64
)

// LoadReport is the load of an endpoint at AsOf, as the endpoint reports it.
type LoadReport struct {
	AsOf time.Time
	// Requests is how many requests run or wait on the endpoint.
	Requests int
	// Received is when the report arrived.
	Received time.Time
}

// SetLoadReport stores the newest load report of an endpoint.
func (t *Tracker) SetLoadReport(name string, r LoadReport) { t.endpoint(name).report = r }

// Untracked returns how many more requests the newest load report shows than
// were tracked at its time: work that others placed on the endpoint.
func (t *Tracker) Untracked(name string, now time.Time) int {
	e := t.endpoint(name)
	if e.report.Received.IsZero() || now.Sub(e.report.Received) > reportTimeout {
		return 0
	}
	tracked := e.history.maxCount(e.report.AsOf.Add(-reportTimeTolerance), e.report.AsOf.Add(reportTimeTolerance))
	return max(0, e.report.Requests-tracked)
}

// history holds the newest changes of a count, oldest first.
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

// maxCount returns the highest count between two times. For times before the
// oldest kept change it uses the count of that change.
func (h *history) maxCount(from, to time.Time) int {
	most := 0
	if h.length == historyLength {
		most = h.changes[h.next].count
	}
	for i := range h.length {
		c := h.changes[(h.next-h.length+i+historyLength)%historyLength]
		switch {
		case c.at.After(to):
			return most
		case c.at.Before(from):
			most = c.count
		default:
			most = max(most, c.count)
		}
	}
	return most
}
