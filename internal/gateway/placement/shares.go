package placement

import (
	"time"

	"kingcupcourse/internal/decision/fairshare"
)

// sharesPeriod is the time between two counts of the accounts' attempts. An account
// that has not asked for a whole period has no share.
const sharesPeriod = 100 * time.Millisecond

// accountShares holds the shares of the accounts in the attempts that this host
// counts, by service.
type accountShares struct {
	enabled   bool
	services  map[string]*fairshare.Shares
	asked     map[askedKey]float64 // weight, of this period
	countedAt time.Time
}

type askedKey struct{ service, account string }

func newAccountShares(enabled bool) *accountShares {
	return &accountShares{enabled: enabled, services: map[string]*fairshare.Shares{}, asked: map[askedKey]float64{}}
}

func (s *accountShares) of(service string) *fairshare.Shares {
	shares := s.services[service]
	if shares == nil {
		shares = fairshare.New()
		s.services[service] = shares
	}
	return shares
}

// waitPart returns the part of the usual wait that is due to the request.
func (d *Duty) waitPart(req Request, now time.Time) float64 {
	s := d.shares
	if !s.enabled || req.Account == "" || req.PromptTokens == 0 {
		return 1
	}
	s.asked[askedKey{req.Service, req.Account}] = req.AccountWeight
	if now.Sub(s.countedAt) >= sharesPeriod {
		s.countedAt = now
		s.count(d.requests)
	}
	return s.of(req.Service).Factor(req.Account)
}

// count counts the attempts of all accounts anew.
func (s *accountShares) count(requests map[string]Request) {
	for _, shares := range s.services {
		shares.Reset()
	}
	for key, weight := range s.asked {
		s.of(key.service).Ask(key.account, weight)
	}
	clear(s.asked)
	for _, req := range requests {
		if req.Account != "" {
			s.of(req.Service).Add(req.Account, req.AccountWeight)
		}
	}
}
