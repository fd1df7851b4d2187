// Package quota enforces the limit of a client account over all hosts together.
// One host, the coordinator, keeps the ledger of what all hosts have admitted,
// and grants each of them a part of what is left. Every host can keep a ledger,
// and a host that reaches no other keeps its own. A report credits the ledger with
// the host's equal part of each limit for the time since the host's previous report
// to any ledger. No time of a host is credited twice, so ledgers that cannot see each
// other never grant more than the limit in total, also while hosts move between them.
package quota

import "time"

const (
	// reportTimeout is how long after its last report a host counts as using
	// its equal part independently: four report periods in a small fleet. In a
	// large fleet, where hosts report less often, reportTimeoutPerHost
	// multiplied by the number of hosts applies.
	reportTimeout        = 600 * time.Millisecond
	reportTimeoutPerHost = 30 * time.Millisecond
	// demandTimeConstant is the time constant of the average of a host's
	// demand, by which the remaining units are divided.
	demandTimeConstant = 2 * time.Second
	// transferredShare is the share of its part of a level that a host takes along
	// to another ledger. The hosts that stay with the previous ledger can use up
	// that part as well.
	transferredShare = 0.5
	// minHostShare is the smallest share of the remaining units that a host
	// is granted, as a fraction of an equal part. It lets a host without
	// recent demand admit a first request.
	minHostShare = 0.25
)

// Limit is an account's limit: Rate in units per second, and Burst in units.
type Limit struct {
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// Usage is what a host has admitted, less what it has refunded, and what was
// requested of it since its previous report, in units. Level is the remaining level that it was last told,
// if LevelKnown.
type Usage struct {
	Admitted   float64 `json:"taken"`
	Requested  float64 `json:"asked"`
	Level      float64 `json:"level"`
	LevelKnown bool    `json:"known,omitempty"`
}

// Grant is what a host may admit until its next report. Level is what all
// hosts together have left, negative if they have overdrawn the limit; Units is
// the host's part of it.
type Grant struct {
	Units float64 `json:"units"`
	Level float64 `json:"level"`
	// Inflow is how many units are added to Units per second until the next
	// grant, for at most grantGrowthPeriod.
	Inflow float64 `json:"inflow"`
}

// Ledger is the state of all limits as one host keeps it.
type Ledger struct {
	limits   map[string]Limit
	hosts    map[string]time.Time // time of each host's last report
	accounts map[string]*balance
	// credited is the sum of the equal parts that were credited, as the time in
	// which the whole fleet earns as much.
	credited time.Duration
}

// balance is what is left of one account's limit.
type balance struct {
	level    float64
	size     averageSize        // of the requests that hosts have asked about
	refilled time.Duration      // the ledger's credit at the last refill
	demand   map[string]float64 // units per second by host
	joined   map[string]bool    // hosts that have reported to this ledger
}

// NewLedger returns a ledger without limits or hosts.
func NewLedger() *Ledger {
	return &Ledger{limits: map[string]Limit{}, hosts: map[string]time.Time{}, accounts: map[string]*balance{}}
}

// SetLimits replaces the limits by account.
func (l *Ledger) SetLimits(limits map[string]Limit) {
	l.limits = limits
	for name := range l.accounts {
		if _, ok := limits[name]; !ok {
			delete(l.accounts, name)
		}
	}
}

// SetLimit sets the limit of one account.
func (l *Ledger) SetLimit(account string, limit Limit) { l.limits[account] = limit }

// SetHosts replaces the hosts between which the limits are divided.
func (l *Ledger) SetHosts(names []string) {
	hosts := make(map[string]time.Time, len(names))
	for _, name := range names {
		hosts[name] = l.hosts[name]
	}
	l.hosts = hosts
}

// Report processes a host's report, which covers the time elapsed since its previous
// report to any ledger, and returns the host's grants by account.
func (l *Ledger) Report(host string, elapsed time.Duration, usages map[string]Usage, now time.Time) map[string]Grant {
	since := now.Sub(l.hosts[host])
	l.hosts[host] = now
	l.credited += max(0, min(elapsed, since)) / time.Duration(len(l.hosts))
	reporting := l.reporting(now)
	fraction := float64(reporting) / float64(len(l.hosts))
	grants := make(map[string]Grant, len(l.limits))
	for name, limit := range l.limits {
		usage := usages[name]
		b := l.balance(name)
		b.addHost(host, usage, limit, len(l.hosts))
		b.refill(limit, l.credited, fraction)
		// Units that were given back may exceed those admitted.
		b.level = min(b.level-usage.Admitted, limit.Burst*fraction)
		b.recordDemand(host, usage.Requested, since)
		share := b.hostShare(host, reporting)
		grants[name] = Grant{Units: b.level * share, Level: b.level, Inflow: limit.Rate * fraction * share}
	}
	return grants
}

// Acquire takes the units of one request from the remaining units, which must be
// enough for an average request. A larger one overdraws them, so that requests of
// all sizes pass alike. If there are too few, it returns after what time the
// request may be retried.
func (l *Ledger) Acquire(account string, units float64) (ok bool, retry time.Duration) {
	limit, limited := l.limits[account]
	if !limited {
		return true, 0
	}
	b := l.balance(account)
	b.size.add(units)
	if required := b.size.required(limit); b.level < required {
		return false, retryAfter(required-b.level, limit)
	}
	b.level -= units
	return true, 0
}

// balance returns the balance of an account. A new balance is empty until hosts
// join.
func (l *Ledger) balance(name string) *balance {
	b := l.accounts[name]
	if b == nil {
		b = &balance{refilled: l.credited, demand: map[string]float64{}, joined: map[string]bool{}}
		l.accounts[name] = b
	}
	return b
}

// addHost adds what a host contributes with its first report: a share of its equal
// part of the level that the previous ledger reported to it, or its part of the burst
// if there was none. A host that returns or restarts contributes nothing, since it is
// not known what it used in the meantime.
func (b *balance) addHost(host string, usage Usage, limit Limit, hosts int) {
	if b.joined[host] {
		return
	}
	b.joined[host] = true
	level := limit.Burst
	if usage.LevelKnown {
		level = min(level, usage.Level, transferredShare*usage.Level)
	}
	b.level += level / float64(max(1, hosts))
}

// reporting returns the number of hosts that report to this ledger.
func (l *Ledger) reporting(now time.Time) int {
	count, timeout := 0, max(reportTimeout, time.Duration(len(l.hosts))*reportTimeoutPerHost)
	for _, last := range l.hosts {
		if now.Sub(last) < timeout {
			count++
		}
	}
	return count
}

// refill adds what the ledger was credited with since the last refill, up to the
// burst for the fraction of the hosts that report.
func (b *balance) refill(limit Limit, credited time.Duration, fraction float64) {
	b.level += limit.Rate * (credited - b.refilled).Seconds()
	b.level = min(b.level, limit.Burst*fraction)
	b.refilled = credited
}

// recordDemand updates a host's average demand with its latest report.
func (b *balance) recordDemand(host string, requested float64, since time.Duration) {
	if since <= 0 {
		return
	}
	weight := min(1, since.Seconds()/demandTimeConstant.Seconds())
	b.demand[host] += weight * (requested/since.Seconds() - b.demand[host])
}

// hostShare returns the share of the remaining units that a host is granted. It
// follows the host's demand, but is at least minHostShare of an equal part.
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
