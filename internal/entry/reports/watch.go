package reports

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"kingcupcourse/internal/entry/peer"
)

// maxUnanswered is how many reports in a row a scheduler may leave without
// an answer. One may be due to load.
const maxUnanswered = 2

// ErrOwnerSilent is the cause with which a grant call is cancelled when its
// scheduler does not answer heartbeats.
var ErrOwnerSilent = eris.New("the scheduler does not answer")

func (m Watch) handle(o *Owner, _ time.Time) {
	byAttempt := o.watches[m.Address]
	if byAttempt == nil {
		byAttempt = map[string]context.CancelCauseFunc{}
		o.watches[m.Address] = byAttempt
	}
	byAttempt[m.Attempt] = m.Cancel
}

func (m Unwatch) handle(o *Owner, _ time.Time) {
	delete(o.watches[m.Address], m.Attempt)
	if len(o.watches[m.Address]) == 0 {
		delete(o.watches, m.Address)
	}
}

// heard takes note of how a scheduler took a report. When it can't be
// reached, or maxUnanswered reports in a row got no answer, the grant calls
// that wait for it are cancelled.
func (o *Owner) heard(address string, silence peer.Silence) {
	switch silence {
	case peer.Answered:
		delete(o.unanswered, address)
		return
	case peer.Unanswered:
		if o.unanswered[address]++; o.unanswered[address] < maxUnanswered {
			return
		}
	}
	delete(o.unanswered, address)
	for _, cancel := range o.watches[address] {
		cancel(ErrOwnerSilent)
	}
	delete(o.watches, address)
}
