package reports

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

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

// silent cancels the grant calls that wait for a scheduler.
func (o *Owner) silent(address string) {
	for _, cancel := range o.watches[address] {
		cancel(ErrOwnerSilent)
	}
	delete(o.watches, address)
}
