// Package fairshare tells which client accounts use more than their share of the
// endpoints. It answers to a load of one account with many times its usual demand
// while there is too little room for all: in arrival order it would take the room
// of all others, although each of them stays within its limit.
//
// The shares are weighted max-min shares. An account's share is its weight among
// the accounts that ask for the endpoints. What the others do not use is lent
// to whoever asks, since an account above its share only waits shorter: it still
// gets each free slot, and gives way to the others where requests have to wait.
package fairshare

const (
	// slack is the number of attempts by which an account may exceed its share. It
	// keeps small accounts, whose share may be less than one attempt, from waiting
	// shorter than the others.
	slack = 2
	// minFactor is the part of its wait that is left to an account, however much it
	// uses.
	minFactor = 0.1
)

// Shares holds the attempts of each account at a set of endpoints. The zero value
// is not usable; see New.
type Shares struct {
	accounts map[string]*usage
	attempts float64
	weights  float64 // of all accounts
}

type usage struct{ attempts, weight float64 }

// New returns Shares without accounts.
func New() *Shares { return &Shares{accounts: map[string]*usage{}} }

// Reset forgets all accounts.
func (s *Shares) Reset() {
	clear(s.accounts)
	s.attempts, s.weights = 0, 0
}

// Ask records that an account with the weight has a request, whether it is taken or
// not: an account that gets nothing has a share as well. A weight that is not
// positive counts as 1; the first one of an account holds until the next Reset.
func (s *Shares) Ask(account string, weight float64) { s.usage(account, weight) }

// Add counts an attempt of an account.
func (s *Shares) Add(account string, weight float64) {
	s.usage(account, weight).attempts++
	s.attempts++
}

func (s *Shares) usage(account string, weight float64) *usage {
	u := s.accounts[account]
	if u == nil {
		if weight <= 0 {
			weight = 1
		}
		u = &usage{weight: weight}
		s.accounts[account] = u
		s.weights += weight
	}
	return u
}

// Factor returns the part of the usual wait that is due to the next request of an
// account, from minFactor to 1. It is 1 for an account within its share.
func (s *Shares) Factor(account string) float64 {
	u := s.accounts[account]
	if u == nil {
		return 1
	}
	share := u.weight / s.weights * s.attempts
	return max(minFactor, min(1, (share+slack)/(u.attempts+1)))
}
