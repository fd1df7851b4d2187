package reports

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"kingcupcourse/internal/entry/peer"
)

// maxUnansweredReports is how many reports in a row a scheduler may leave without
// an answer. One may be due to load.
const maxUnansweredReports = 2

// ErrSchedulerSilent is the cause with which a grant call is cancelled when its
// scheduler does not answer heartbeats.
var ErrSchedulerSilent = eris.New("the scheduler does not answer")

func (m WatchGrant) handle(o *Reporter, _ time.Time) {
	byAttempt := o.grantCalls[m.Address]
	if byAttempt == nil {
		byAttempt = map[string]context.CancelCauseFunc{}
		o.grantCalls[m.Address] = byAttempt
	}
	byAttempt[m.Attempt] = m.Cancel
}

func (m UnwatchGrant) handle(o *Reporter, _ time.Time) {
	delete(o.grantCalls[m.Address], m.Attempt)
	if len(o.grantCalls[m.Address]) == 0 {
		delete(o.grantCalls, m.Address)
	}
}

// updateReachability takes note of how a scheduler took a report. When it can't be
// reached, or maxUnanswered reports in a row got no answer, the grant calls
// that wait for it are cancelled.
func (o *Reporter) updateReachability(address string, silence peer.Reachability) {
	switch silence {
	case peer.Answered:
		delete(o.unansweredReports, address)
		return
	case peer.Unanswered:
		if o.unansweredReports[address]++; o.unansweredReports[address] < maxUnansweredReports {
			return
		}
	}
	delete(o.unansweredReports, address)
	for _, cancel := range o.grantCalls[address] {
		cancel(ErrSchedulerSilent)
	}
	delete(o.grantCalls, address)
}
