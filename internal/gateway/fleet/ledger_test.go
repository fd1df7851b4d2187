package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/decision/fleet"
	"kingcupcourse/internal/decision/quota"
	"kingcupcourse/internal/ring"
)

// simulatedHost is a host of a fleet without a network: its ledger, its reporters of
// the shards, and what it may admit.
type simulatedHost struct {
	name      string
	ledger    *ledger
	share     *quota.Allocation
	reporters []*usageReporter
	nextAt    time.Time
}

// testVersion is the version of the hosts' configuration.
const testVersion = 7

// simulatedFleet is a fleet in which one account sends requests.
type simulatedFleet struct {
	t        *testing.T
	now      time.Time
	account  string
	limit    quota.Limit
	hosts    map[string]*simulatedHost
	admitted []admittedUnits
}

type admittedUnits struct {
	at    time.Time
	units float64
}

func (f *simulatedFleet) addHost(name string) *simulatedHost {
	h := &simulatedHost{name: name, share: quota.NewAllocation(), nextAt: f.now.Add(rand.N(minReportPeriod)),
		ledger: &ledger{shards: map[LimitShard]*shardLedger{}, limits: accountLimits{version: testVersion,
			known: map[string]bool{f.account: true}, configured: map[string]quota.Limit{f.account: f.limit}}}}
	for shard := range maxLimitShards {
		h.reporters = append(h.reporters, &usageReporter{self: name, shard: shard})
	}
	f.hosts[name] = h
	return h
}

// setHosts gives a host a list of the hosts.
func (h *simulatedHost) setHosts(hosts *fleet.Ring) {
	h.ledger.names = hosts.Names()
	for shard, quotas := range h.ledger.shards {
		h.ledger.configure(shard, quotas)
	}
	for _, r := range h.reporters {
		r.setHosts(hosts)
	}
}

// report sends the host's reports to the coordinators of all shards.
func (f *simulatedFleet) report(h *simulatedHost) {
	for _, r := range h.reporters {
		if !r.hasShard() {
			continue
		}
		shard := LimitShard{Shard: r.shard, Shards: limitShards(len(r.order))}
		m := reportMessage{Reply: ring.NewReply[ReportResponse](),
			report: Report{Host: h.name, LimitShard: shard, Uses: h.share.Report(shard.Holds), Elapsed: r.elapsed(f.now)}}
		m.handle(f.hosts[r.order[0].Name].ledger, f.now)
		response, err := m.Wait(f.t.Context())
		if err != nil {
			f.t.Fatal(err)
		}
		r.reportedAt = f.now
		h.share.ApplyGrants(response.Grants, f.now)
	}
}

// request sends a request of the account to a host.
func (f *simulatedFleet) request(h *simulatedHost, units float64) {
	shard := LimitShard{Shards: limitShards(len(h.reporters[0].order))}
	shard.Shard = ShardOfAccount(f.account, shard.Shards)
	decision, _ := h.share.Admit(f.account, f.limit, units, f.now)
	if decision == quota.AskCoordinator {
		m := acquireMessage{Reply: ring.NewReply[AcquireResponse](),
			request: AcquireRequest{LimitShard: shard, Account: f.account, Units: units, Limit: f.limit, ConfigVersion: testVersion}}
		m.handle(f.hosts[h.reporters[shard.Shard].order[0].Name].ledger, f.now)
		if response, err := m.Wait(f.t.Context()); err == nil && response.Allowed {
			decision = quota.Admitted
		}
	}
	if decision == quota.Admitted {
		f.admitted = append(f.admitted, admittedUnits{f.now, units})
	}
}

// run lets time pass while all hosts together get the given units per second.
func (f *simulatedFleet) run(length time.Duration, unitsPerSecond, unitsPerRequest float64) {
	const step = 5 * time.Millisecond
	names := make([]string, 0, len(f.hosts))
	for name := range f.hosts {
		names = append(names, name)
	}
	slices.Sort(names)
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(step) {
		for _, name := range names {
			if h := f.hosts[name]; !f.now.Before(h.nextAt) {
				f.report(h)
				h.nextAt = f.now.Add(reportPeriod(len(f.hosts)))
			}
		}
		for owed := unitsPerSecond * step.Seconds() / unitsPerRequest; rand.Float64() < owed; owed-- {
			f.request(f.hosts[names[rand.IntN(len(names))]], unitsPerRequest)
		}
	}
}

// most returns the most units that were admitted in a window of the given length.
func (f *simulatedFleet) most(window time.Duration) (most float64) {
	for i, first := range f.admitted {
		sum := 0.0
		for _, a := range f.admitted[i:] {
			if a.at.Sub(first.at) < window {
				sum += a.units
			}
		}
		most = max(most, sum)
	}
	return most
}

// Guards against an account that gets its limit twice while hosts divide the limits
// differently: a host was added, and a third of the hosts did not know it yet. The
// ledger of a host with the old list earned the time of all hosts, since it took all
// accounts for those of its shard, and another ledger earned it once more.
func TestHostsWithOldListsDoNotDoubleALimit(t *testing.T) {
	const window, share, slack = 8 * time.Second, 0.1, 140_000.0
	const rate, burst = 40_000.0, 40_000.0
	allowed := (rate*window.Seconds()+burst)*(1+share) + slack
	for shard := range 2 {
		account := accountIn(LimitShard{Shard: shard, Shards: 2})
		for firstStale := range 15 {
			t.Run(fmt.Sprintf("shard %d, hosts from %d on", shard, firstStale), func(t *testing.T) {
				tolerance := Tolerance{Share: share, Units: slack, Window: window}
				f := &simulatedFleet{t: t, now: time.Unix(1000, 0), account: account, hosts: map[string]*simulatedHost{},
					limit: testLimit(rate, burst, tolerance)}
				var list []fleet.Host
				for i := range 16 {
					list = append(list, fleet.Host{Name: fmt.Sprint("host-", i), Processor: 1})
				}
				before, after := fleet.NewRing(list[:15]), fleet.NewRing(list)
				for _, host := range list[:15] {
					f.addHost(host.Name).setHosts(before)
				}
				f.run(4*time.Second, rate/2, 2000)
				f.addHost(list[15].Name)
				for i, host := range list {
					if i == 15 || (i-firstStale+15)%15 >= 5 {
						f.hosts[host.Name].setHosts(after)
					}
				}
				f.run(10*time.Second, 4*rate, 2000)
				for _, h := range f.hosts {
					h.setHosts(after)
				}
				f.run(2*time.Second, 4*rate, 2000)
				if got := f.most(window); got > allowed || got < 0.8*rate*window.Seconds() {
					t.Errorf("%.0f units were admitted in %v, allowed %.0f, at least %.0f are due", got, window, allowed, 0.8*rate*window.Seconds())
				}
			})
		}
	}
}

// Guards against an account without any limit on hosts whose configuration has one,
// since the coordinator of the limit cannot read the store: its ledger had no limit
// for the account, and allowed everything.
func TestCoordinatorWithAnotherConfigurationKeepsTheLimit(t *testing.T) {
	const window, rate, burst = 8 * time.Second, 10_000.0, 10_000.0
	allowed := rate*window.Seconds() + burst
	for name, limits := range map[string]accountLimits{
		"no configuration yet":        {},
		"no such account yet":         {version: testVersion - 1, known: map[string]bool{"other": true}},
		"account removed meanwhile":   {version: testVersion + 1, known: map[string]bool{"other": true}},
		"no limit yet":                {version: testVersion - 1, known: map[string]bool{"account": true}},
		"a much higher limit before":  {version: testVersion - 1, known: map[string]bool{"account": true}, configured: map[string]quota.Limit{"account": {Rate: 20 * rate, Burst: burst}}},
		"the same limit a bit longer": {version: testVersion - 1, known: map[string]bool{"account": true}, configured: map[string]quota.Limit{"account": {Rate: rate, Burst: burst}}},
	} {
		t.Run(name, func(t *testing.T) {
			f := &simulatedFleet{t: t, now: time.Unix(1000, 0), account: "account", hosts: map[string]*simulatedHost{}, limit: quota.Limit{Rate: rate, Burst: burst}}
			list := []fleet.Host{{Name: "host-1"}, {Name: "host-2"}, {Name: "host-3"}}
			hosts := fleet.NewRing(list)
			for _, host := range list {
				f.addHost(host.Name).setHosts(hosts)
			}
			f.hosts[hosts.Order(limitsKey, 0)[0].Name].ledger.limits = limits
			f.run(12*time.Second, 4*rate, 500)
			if got := f.most(window); got > 1.1*allowed || got < 0.8*rate*window.Seconds() {
				t.Errorf("%.0f units were admitted in %v, the limit is %.0f", got, window, allowed)
			}
		})
	}
}

// A newer configuration without a limit for an account lifts it on all hosts.
func TestLedgerAllowsAccountsWithoutLimit(t *testing.T) {
	l := &ledger{shards: map[LimitShard]*shardLedger{}, names: []string{"host-1"},
		limits: accountLimits{version: testVersion + 1, known: map[string]bool{"a": true}}}
	acquire := func(request AcquireRequest) (AcquireResponse, error) {
		m := acquireMessage{Reply: ring.NewReply[AcquireResponse](), request: request}
		m.handle(l, time.Unix(1000, 0))
		return m.Wait(t.Context())
	}
	request := AcquireRequest{LimitShard: LimitShard{Shards: 1}, Account: "a", Units: 1, Limit: quota.Limit{Rate: 1, Burst: 1}, ConfigVersion: testVersion}
	if response, err := acquire(request); err != nil || !response.Allowed {
		t.Errorf("%+v, error %v, want it allowed", response, err)
	}
	request.Account, request.Limit = "unknown", quota.Limit{}
	if response, err := acquire(request); !errors.Is(err, errLimitUnknown) {
		t.Errorf("%+v, error %v, want %v", response, err, errLimitUnknown)
	}
}

// accountIn returns the name of an account whose limit is in the shard.
func accountIn(shard LimitShard) string {
	for i := 0; ; i++ {
		if name := fmt.Sprint("account-", i); shard.Holds(name) {
			return name
		}
	}
}

// Guards against an account that gets its burst again each time that the fleet passes a
// number of hosts at which the limits are divided anew.
func TestChangesOfTheDivisionEarnNothing(t *testing.T) {
	const rate, burst = 1000.0, 10_000.0
	f := &simulatedFleet{t: t, now: time.Unix(1000, 0), account: "a", hosts: map[string]*simulatedHost{}, limit: quota.Limit{Rate: rate, Burst: burst}}
	var list []fleet.Host
	for i := range 16 {
		list = append(list, fleet.Host{Name: fmt.Sprint("host-", i), Processor: 1})
		f.addHost(list[i].Name)
	}
	began := f.now
	for i := range 30 {
		hosts := fleet.NewRing(list[:15+i%2])
		for _, h := range f.hosts {
			h.setHosts(hosts)
		}
		f.run(2*time.Second, 4*rate, 100)
	}
	sum, allowed := 0.0, burst+rate*f.now.Sub(began).Seconds()
	for _, a := range f.admitted {
		sum += a.units
	}
	if sum > 1.2*allowed || sum < 0.7*allowed {
		t.Errorf("%.0f units were admitted, the limit is %.0f", sum, allowed)
	}
}

// A message about a shard that no division has is refused, and makes no ledger.
func TestLedgerRefusesShardsThatDoNotExist(t *testing.T) {
	l := &ledger{shards: map[LimitShard]*shardLedger{}, names: []string{"host-1"}}
	for _, shard := range []LimitShard{{Shard: -1, Shards: 2}, {Shard: 2, Shards: 2}, {Shard: 1, Shards: -1}, {Shard: 20, Shards: maxLimitShards + 10}} {
		m := acquireMessage{Reply: ring.NewReply[AcquireResponse](), request: AcquireRequest{LimitShard: shard, Account: "a", Units: 1}}
		m.handle(l, time.Unix(1000, 0))
		if _, err := m.Wait(context.Background()); !errors.Is(err, errNoSuchShard) || len(l.shards) > 0 {
			t.Errorf("%+v: error %v, %d ledgers", shard, err, len(l.shards))
		}
	}
}

// testLimit returns the limit that hosts enforce for an account's limit.
func testLimit(rate, burst float64, tolerance Tolerance) quota.Limit {
	return Limits(&catalog.Configuration{Accounts: []catalog.Account{{Name: "a", Rate: rate, Burst: burst}}}, tolerance)["a"]
}
