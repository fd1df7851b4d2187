package reports

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"kingcupcourse/internal/entry/peer"
)

// maxUnansweredReports is how many consecutive reports a scheduler may leave
// unanswered. A single one may be due to load.
const maxUnansweredReports = 2

// ErrSchedulerSilent is the cause with which a grant call is cancelled when
// its scheduler does not answer heartbeats.
var ErrSchedulerSilent = eris.New("the scheduler does not answer")

func (m WatchGrant) handle(r *Reporter, _ time.Time) {
	byAttempt := r.grantCalls[m.Address]
	if byAttempt == nil {
		byAttempt = map[string]context.CancelCauseFunc{}
		r.grantCalls[m.Address] = byAttempt
	}
	byAttempt[m.Attempt] = m.Cancel
}

func (m UnwatchGrant) handle(r *Reporter, _ time.Time) {
	delete(r.grantCalls[m.Address], m.Attempt)
	if len(r.grantCalls[m.Address]) == 0 {
		delete(r.grantCalls, m.Address)
	}
}

// updateReachability records whether a scheduler answered a report. When the
// scheduler can't be reached, or has left maxUnansweredReports consecutive
// reports unanswered, the grant calls to it are cancelled.
func (r *Reporter) updateReachability(address string, reachability peer.Reachability) {
	switch reachability {
	case peer.Answered:
		delete(r.unansweredReports, address)
		return
	case peer.Unanswered:
		if r.unansweredReports[address]++; r.unansweredReports[address] < maxUnansweredReports {
			return
		}
	}
	delete(r.unansweredReports, address)
	for _, cancel := range r.grantCalls[address] {
		cancel(ErrSchedulerSilent)
	}
	delete(r.grantCalls, address)
}
