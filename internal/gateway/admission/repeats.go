package admission

import (
	"time"

	"kingcupcourse/internal/decision/retry"
	"kingcupcourse/internal/ring"
)

const (
	// unknownHosts is the size of the fleet that is assumed until it is known:
	// large enough that no fleet of that size overspends.
	unknownHosts = 100
	// leastBurst lets each host of a large fleet repeat a request now and
	// then.
	leastBurst = 1
)

// repeats holds what this host may send again of each service's requests.
type repeats struct {
	share, burst float64 // burst is that of all hosts together
	hosts        int
	services     map[string]*retry.Budget
}

func newRepeats(share, burst float64) *repeats {
	return &repeats{share: share, burst: burst, hosts: unknownHosts, services: map[string]*retry.Budget{}}
}

func (r *repeats) budget(service string) *retry.Budget {
	b := r.services[service]
	if b == nil {
		b = retry.NewBudgetWith(r.share, r.hostBurst())
		r.services[service] = b
	}
	return b
}

func (r *repeats) hostBurst() float64 { return max(leastBurst, r.burst/float64(r.hosts)) }

func (r *repeats) earn(service string) { r.budget(service).Deposit() }

// setHosts divides the burst among the hosts of the fleet. A host that has let
// requests in before it knew the fleet's size gets the rest of its part then.
func (r *repeats) setHosts(hosts int) {
	if hosts == r.hosts || hosts < 1 {
		return
	}
	first := r.hosts == unknownHosts
	r.hosts = hosts
	for _, b := range r.services {
		if first {
			b.RaiseBurst(r.hostBurst())
		} else {
			b.SetBurst(r.hostBurst())
		}
	}
}

// Retry asks whether a request of the service may be sent once more.
type Retry struct {
	ring.Reply[bool]
	Service string
}

func (m Retry) handle(d *Duty, _ time.Time) { m.Send(d.repeats.budget(m.Service).TryWithdraw()) }
