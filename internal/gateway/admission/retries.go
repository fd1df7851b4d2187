package admission

import (
	"time"

	"kingcupcourse/internal/decision/retry"
	"kingcupcourse/internal/ring"
)

const (
	// assumedHosts is the fleet size assumed until it is known. A fleet of up to
	// that size does not exceed its retry budget.
	assumedHosts = 100
	// minHostBurst lets each host of a large fleet retry a request now and then.
	minHostBurst = 1
)

// retryBudgets holds this host's retry budget for each service.
type retryBudgets struct {
	share, burst float64 // burst is the total of all hosts
	hosts        int
	services     map[string]*retry.Budget
}

func newRetryBudgets(share, burst float64) *retryBudgets {
	return &retryBudgets{share: share, burst: burst, hosts: assumedHosts, services: map[string]*retry.Budget{}}
}

func (r *retryBudgets) budget(service string) *retry.Budget {
	b := r.services[service]
	if b == nil {
		b = retry.NewBudgetWith(r.share, r.hostBurst())
		r.services[service] = b
	}
	return b
}

func (r *retryBudgets) hostBurst() float64 { return max(minHostBurst, r.burst/float64(r.hosts)) }

func (r *retryBudgets) earn(service string) { r.budget(service).Deposit() }

// setHosts divides the burst among the hosts of the fleet. Budgets that were
// created before the fleet size was known are topped up to the host's share when
// it becomes known.
func (r *retryBudgets) setHosts(hosts int) {
	if hosts == r.hosts || hosts < 1 {
		return
	}
	first := r.hosts == assumedHosts
	r.hosts = hosts
	for _, b := range r.services {
		if first {
			b.RaiseBurst(r.hostBurst())
		} else {
			b.SetBurst(r.hostBurst())
		}
	}
}

// Retry asks whether a request of the service may be retried.
type Retry struct {
	ring.Reply[bool]
	Service string
}

func (m Retry) handle(d *Duty, _ time.Time) { m.Send(d.retries.budget(m.Service).TryWithdraw()) }
