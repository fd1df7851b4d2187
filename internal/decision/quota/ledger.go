// Package quota holds the limit of a client account over all hosts. One host
// keeps the ledger of what all of them have let in and grants each a part of
// what is left; every host can, and one that reaches no other keeps its own.
// A ledger leaves an equal part of each limit to every host that does not
// report to it, so that ledgers that don't see each other never grant more
// than the limit together.
package quota

import "time"

const (
	// reportTimeout is how long after its last report a host counts as using
	// its equal part by itself: four periods of reports in a small fleet.
	// reportTimeoutPerHost is for a large one, whose hosts report less often.
	reportTimeout        = 600 * time.Millisecond
	reportTimeoutPerHost = 30 * time.Millisecond
	// demandTimeConstant is the time constant of a host's demand, by which what is
	// left is divided.
	demandTimeConstant = 2 * time.Second
	// minHostShare is the least part of what is left that a host is granted, as
	// a share of an equal part. A host without recent demand can so let a
	// first request in.
	minHostShare = 0.25
)

// Limit is an account's limit: Rate units a second, and Burst at once.
type Limit struct{ Rate, Burst float64 }

// Usage is what a host let in and was asked for since its report before, in
// units. Level is what it was told was left, if Known.
type Usage struct {
	Admitted   float64 `json:"taken"`
	Requested  float64 `json:"asked"`
	Level      float64 `json:"level"`
	LevelKnown bool    `json:"known,omitempty"`
}

// Grant is what a host may let in until its next report. Level is what all
// hosts together have left.
type Grant struct {
	Units float64 `json:"units"`
	Level float64 `json:"level"`
	// Inflow is by how much Units grows a second until the next grant.
	Inflow float64 `json:"inflow"`
}

// Ledger is the account of all limits as one host keeps it.
type Ledger struct {
	limits   map[string]Limit
	hosts    map[string]time.Time // when each reported last
	accounts map[string]*balance
}

// balance is what is left of one account's limit.
type balance struct {
	level      float64
	refilledAt time.Time
	demand     map[string]float64 // units a second by host
	joined     map[string]bool    // the hosts that have reported here
}

// NewLedger returns a ledger without limits or hosts.
func NewLedger() *Ledger {
	return &Ledger{limits: map[string]Limit{}, hosts: map[string]time.Time{}, accounts: map[string]*balance{}}
}

// SetLimits replaces the limits, by account.
func (l *Ledger) SetLimits(limits map[string]Limit) {
	l.limits = limits
	for name := range l.accounts {
		if _, ok := limits[name]; !ok {
			delete(l.accounts, name)
		}
	}
}

// SetHosts replaces the hosts that the limits are divided among.
func (l *Ledger) SetHosts(names []string) {
	hosts := make(map[string]time.Time, len(names))
	for _, name := range names {
		hosts[name] = l.hosts[name]
	}
	l.hosts = hosts
}

// Report takes a host's report of the time since its last one and returns its
// grants, by account.
func (l *Ledger) Report(host string, uses map[string]Usage, now time.Time) map[string]Grant {
	since := now.Sub(l.hosts[host])
	l.hosts[host] = now
	reporting := l.reporting(now)
	part := float64(reporting) / float64(max(1, len(l.hosts)))
	grants := make(map[string]Grant, len(l.limits))
	for name, limit := range l.limits {
		use := uses[name]
		b := l.balance(name, now)
		b.addHost(host, use, limit, len(l.hosts))
		b.refill(limit, part, now)
		b.level -= use.Admitted
		b.recordDemand(host, use.Requested, since)
		share := b.hostShare(host, reporting)
		grants[name] = Grant{Units: max(0, b.level) * share, Level: b.level, Inflow: limit.Rate * part * share}
	}
	return grants
}

// Acquire takes the units of one request from what is left, or tells when it
// may come back.
func (l *Ledger) Acquire(account string, units float64, now time.Time) (ok bool, retry time.Duration) {
	limit, limited := l.limits[account]
	if !limited {
		return true, 0
	}
	b := l.balance(account, now)
	b.refill(limit, float64(l.reporting(now))/float64(max(1, len(l.hosts))), now)
	if need := limit.required(units); b.level < need {
		return false, retryAfter(need-b.level, limit)
	}
	b.level -= units
	return true, 0
}

// balance returns the account's balance. A new one is empty until hosts join.
func (l *Ledger) balance(name string, now time.Time) *balance {
	b := l.accounts[name]
	if b == nil {
		b = &balance{refilledAt: now, demand: map[string]float64{}, joined: map[string]bool{}}
		l.accounts[name] = b
	}
	return b
}

// addHost adds what a host brings with its first report: its equal part of what
// the ledger before told it was left, or of the burst if it comes from none. A
// host that returns, or starts again, brings nothing, since what it used
// meanwhile is not known.
func (b *balance) addHost(host string, use Usage, limit Limit, hosts int) {
	if b.joined[host] {
		return
	}
	b.joined[host] = true
	level := limit.Burst
	if use.LevelKnown {
		level = min(level, use.Level)
	}
	b.level += level / float64(max(1, hosts))
}

// reporting counts the hosts that report here.
func (l *Ledger) reporting(now time.Time) int {
	count, timeout := 0, max(reportTimeout, time.Duration(len(l.hosts))*reportTimeoutPerHost)
	for _, last := range l.hosts {
		if now.Sub(last) < timeout {
			count++
		}
	}
	return count
}

// refill adds what has flown in since the last time for the part of the hosts
// that report.
func (b *balance) refill(limit Limit, part float64, now time.Time) {
	b.level += limit.Rate * part * now.Sub(b.refilledAt).Seconds()
	b.level = min(b.level, limit.Burst*part)
	b.refilledAt = now
}

// recordDemand takes over a host's demand since its last report.
func (b *balance) recordDemand(host string, asked float64, since time.Duration) {
	if since <= 0 {
		return
	}
	weight := min(1, since.Seconds()/demandTimeConstant.Seconds())
	b.demand[host] += weight * (asked/since.Seconds() - b.demand[host])
}

// hostShare is the part of what is left that a host is granted: by its demand, but
// never less than a part of an equal one.
func (b *balance) hostShare(host string, reporting int) float64 {
	total := 0.0
	for _, demand := range b.demand {
		total += demand
	}
	least := minHostShare / float64(max(1, reporting))
	if total <= 0 {
		return least
	}
	return max(least, b.demand[host]/total)
}
