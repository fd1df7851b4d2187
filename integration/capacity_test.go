//go:build capacity

package integration

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"kingcupcourse/internal/capacity"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/settings"
	"kingcupcourse/internal/standin/engine"
)

const (
	// startupSettleTime is the wait for the load of starting processes to
	// subside.
	startupSettleTime = 8 * time.Second
	// fleetSettleTime is the same wait for many hosts.
	fleetSettleTime = 20 * time.Second
	// idleWindow and loadWindow are the durations of one measurement without and
	// with load.
	idleWindow = 25 * time.Second
	loadWindow = 10 * time.Second
)

func sleepFor(d time.Duration) func() { return func() { time.Sleep(d) } }

// Measures what the control traffic of idle hosts, with three processes each,
// costs.
func TestCapacityHosts(t *testing.T) {
	var s capacity.Series
	for _, hosts := range []int{7, 14, 28, 42} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			c := startCluster(t, options{hosts: hosts})
			time.Sleep(fleetSettleTime)
			m := c.measure(sleepFor(idleWindow))
			m.addHostUsage(&s, float64(hosts))
			m.addPlatformRates(&s, float64(hosts))
			s.Add("s until a change is in force everywhere", float64(hosts), c.commitChange(1).Seconds())
		})
	}
	saveSeries(t, "hosts", &s)
}

// commitChange commits a changed manifest and returns the time until it is in
// force in every process.
func (c *cluster) commitChange(number int) time.Duration {
	c.t.Helper()
	c.manifest.Deployment = fmt.Sprint("change-", number)
	before := c.readMetrics(c.hosts[0].entryAdmin)["kingcup_manifest_version"]
	c.commitManifest()
	start := time.Now()
	for _, h := range c.hosts {
		for _, admin := range []string{h.entryAdmin, h.schedulerAdmin, h.rolloutAdmin} {
			c.await("manifest change at "+admin, 60*time.Second, func() bool {
				return c.readMetrics(admin)["kingcup_manifest_version"] > before
			})
		}
	}
	return time.Since(start)
}

// Measures the cost of client accounts: the traffic and CPU time of a manifest
// change, and the memory of each role. The platform limits an object to 1 MiB,
// so 22,000 accounts are out of reach.
func TestCapacityAccounts(t *testing.T) {
	var s capacity.Series
	for _, accounts := range []int{5, 500, 2000, 4000, 6000} {
		t.Run(fmt.Sprint(accounts), func(t *testing.T) {
			c := startCluster(t, options{hosts: 3, tuneManifest: func(m *manifest.Manifest) { addAccounts(m, accounts) }})
			time.Sleep(startupSettleTime)
			m := c.measure(func() {
				for i := range 5 {
					c.commitChange(i)
				}
			})
			m.addHostUsage(&s, float64(accounts))
			const processes, changes = 9, 5
			var bytes, cpuMS float64
			for _, role := range roles {
				for i := range c.hosts {
					bytes += m.after[role][i].metrics["kingcup_control_bytes_total"] - m.before[role][i].metrics["kingcup_control_bytes_total"]
					cpuMS += float64(m.after[role][i].cpuTime-m.before[role][i].cpuTime) / float64(time.Millisecond)
				}
			}
			s.Add("kB between peers for a change and process", float64(accounts), bytes/1000/processes/changes)
			s.Add("ms processor for a change and process", float64(accounts), cpuMS/processes/changes)
		})
	}
	saveSeries(t, "accounts", &s)
}

func addAccounts(m *manifest.Manifest, count int) {
	for i := len(m.ClientAccounts); i < count; i++ {
		m.ClientAccounts = append(m.ClientAccounts, manifest.ClientAccount{
			Name: fmt.Sprintf("account-%05d", i), KeySHA256: []string{fmt.Sprintf("%064x", i+1)}, MaxTier: 2, Weight: 1})
	}
}

// Measures what changes of the configuration cost a host. The target is 2
// changes per minute.
func TestCapacityChanges(t *testing.T) {
	c := startCluster(t, options{hosts: 7})
	time.Sleep(startupSettleTime)
	var s capacity.Series
	number := 0
	for _, perMinute := range []float64{0, 15, 30, 60} {
		m := c.measure(func() {
			end := time.Now().Add(20 * time.Second)
			for perMinute > 0 && time.Now().Before(end) {
				number++
				c.manifest.Deployment = fmt.Sprint("change-", number)
				c.commitManifest()
				time.Sleep(time.Duration(60 / perMinute * float64(time.Second)))
			}
			time.Sleep(time.Until(end))
		})
		m.addHostUsage(&s, perMinute)
		m.addPlatformRates(&s, perMinute)
	}
	saveSeries(t, "changes", &s)
}

// Measures run-once requests to a plain service through three hosts: the CPU
// usage of the entries, the owner and the other schedulers, and the journal
// writes.
func TestCapacityRequests(t *testing.T) {
	c := startCluster(t, options{hosts: 3, ledgers: 8, tuneManifest: func(m *manifest.Manifest) {
		m.Pools[1].JournalSlots = 4096
	}})
	c.reuseConnections()
	time.Sleep(startupSettleTime)
	var s capacity.Series
	for _, rate := range []float64{25, 50, 100, 200, 400} {
		var failed, sent int
		m := c.measure(func() { sent, failed = c.sendLoad(rate, func() call { return postEntry(newKey()) }) })
		if failed > 0 {
			t.Logf("at %v/s %d of %d requests failed", rate, failed, sent)
		}
		c.addRequestCosts(&s, &m, float64(sent)/m.duration.Seconds())
	}
	saveSeries(t, "requests", &s)
}

// Varies the minimum interval between two journal writes at a fixed request
// rate and measures writes per second against the time that a request waits.
func TestCapacityFlush(t *testing.T) {
	const rate = 100
	var s capacity.Series
	for _, flush := range []int64{10, 25, 50, 100} {
		t.Run(fmt.Sprint(flush), func(t *testing.T) {
			c := startCluster(t, options{hosts: 3, ledgers: 8, tuneScheduler: func(s *settings.Scheduler) {
				s.JournalFlushMS = settings.Milliseconds(flush)
			}})
			c.reuseConnections()
			time.Sleep(startupSettleTime)
			m := c.measure(func() { c.sendLoad(rate, func() call { return postEntry(newKey()) }) })
			c.addRequestCosts(&s, &m, float64(flush))
			before, last := m.before["scheduler"], m.after["scheduler"]
			var seconds, count float64
			for i := range c.hosts {
				seconds += last[i].metrics["kingcup_reservation_seconds_sum"] - before[i].metrics["kingcup_reservation_seconds_sum"]
				count += last[i].metrics["kingcup_reservation_seconds_count"] - before[i].metrics["kingcup_reservation_seconds_count"]
			}
			s.Add("ms until a key is reserved, mean", float64(flush), 1000*seconds/max(count, 1))
		})
	}
	saveSeries(t, "flush", &s)
}

func (c *cluster) addRequestCosts(s *capacity.Series, m *measurement, rate float64) {
	owner, entries, others := 0, 0.0, 0.0
	for i := range c.hosts {
		entries += m.corePercent("entry", i)
		others += m.corePercent("scheduler", i)
		if m.metricRate("scheduler", i, "kingcup_grants_total") > m.metricRate("scheduler", owner, "kingcup_grants_total") {
			owner = i
		}
	}
	s.Add("all entries core %", rate, entries)
	s.Add("owner core %", rate, m.corePercent("scheduler", owner))
	s.Add("other schedulers core %", rate, (others-m.corePercent("scheduler", owner))/float64(len(c.hosts)-1))
	s.Add("owner resident MiB", rate, float64(m.after["scheduler"][owner].resident)/mebibyte)
	s.Add("owner journal keys", rate, m.after["scheduler"][owner].metrics["kingcup_journal_keys"])
	s.Add("entry resident MiB", rate, float64(m.after["entry"][0].resident)/mebibyte)
	s.Add("journal writes/s", rate, m.metricRate("scheduler", owner, "kingcup_journal_writes_total"))
	m.addPlatformRates(s, rate)
}

// sendLoad sends rate requests per second through all hosts in turn for
// loadWindow.
func (c *cluster) sendLoad(rate float64, next func() call) (sent, failed int) {
	var (
		running sync.WaitGroup
		lock    sync.Mutex
	)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for end := time.Now().Add(loadWindow); time.Now().Before(end); sent++ {
		<-ticker.C
		h, k := c.hosts[sent%len(c.hosts)], next()
		running.Go(func() {
			if result := c.send(c.t.Context(), h, k); !result.complete {
				lock.Lock()
				failed++
				lock.Unlock()
			}
		})
	}
	running.Wait()
	return sent, failed
}

// Measures the cost of streaming tokens through one entry host.
func TestCapacityTokens(t *testing.T) {
	const perStream, length = 50, 500
	c := startCluster(t, options{hosts: 3, engines: 4, tuneEngine: func(_ int, e *engine.Config) {
		e.Slots, e.DecodeTokensPerSecond, e.PrefillTokensPerSecond = 64, perStream, 100_000
	}})
	c.reuseConnections()
	time.Sleep(startupSettleTime)
	var s capacity.Series
	for _, streams := range []int{10, 20, 40, 80, 160} {
		var tokens int
		m := c.measure(func() { tokens = c.runStreams(streams, length) })
		rate := float64(tokens) / m.duration.Seconds()
		s.Add("entry core %", rate, m.corePercent("entry", 0))
		s.Add("entry resident MiB", rate, float64(m.after["entry"][0].resident)/mebibyte)
		owner := 0.0
		for i := range c.hosts {
			owner += m.corePercent("scheduler", i)
		}
		s.Add("all schedulers core %", rate, owner)
	}
	saveSeries(t, "tokens", &s)
}

// runStreams runs count streams at once through the first host and returns how
// many tokens arrived in complete streams.
func (c *cluster) runStreams(count, length int) int {
	var running sync.WaitGroup
	complete := make([]bool, count)
	for i := range count {
		running.Go(func() {
			result := c.send(c.t.Context(), c.hosts[0], completion(summaryModel, fmt.Sprintf("dossier %d %s", i, newKey()), length, ""))
			complete[i] = result.complete
		})
	}
	running.Wait()
	tokens := 0
	for _, ok := range complete {
		if ok {
			tokens += length
		}
	}
	if tokens < count*length {
		c.t.Logf("%d of %d streams complete", tokens/length, count)
	}
	return tokens
}

// Measures what polling the idle endpoints of a shard costs the owner and the
// scheduler next in rank.
func TestCapacityEndpoints(t *testing.T) {
	var s capacity.Series
	for _, endpoints := range []int{5, 10, 20, 40, 80} {
		t.Run(fmt.Sprint(endpoints), func(t *testing.T) {
			c := startCluster(t, options{hosts: 4, engines: endpoints})
			time.Sleep(startupSettleTime)
			m := c.measure(sleepFor(15 * time.Second))
			c.addPollingCosts(&s, &m, float64(endpoints))
		})
	}
	saveSeries(t, "endpoints", &s)
}

// addPollingCosts adds the usage of the schedulers that poll, which are those
// with endpoint duties for the model pool, and of the others.
func (c *cluster) addPollingCosts(s *capacity.Series, m *measurement, x float64) {
	var polling, other, pollers, others, resident float64
	for i, h := range c.hosts {
		if c.pollsEndpoints(h) {
			polling, pollers = polling+m.corePercent("scheduler", i), pollers+1
			resident += float64(m.after["scheduler"][i].resident) / mebibyte
			continue
		}
		other, others = other+m.corePercent("scheduler", i), others+1
	}
	s.Add("pollers", x, pollers)
	s.Add("polling scheduler core %", x, polling/max(pollers, 1))
	s.Add("polling scheduler resident MiB", x, resident/max(pollers, 1))
	s.Add("other scheduler core %", x, other/max(others, 1))
}

func (c *cluster) pollsEndpoints(h *host) bool {
	response, err := c.client.Get("http://" + h.schedulerAdmin + "/debug/children")
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var text strings.Builder
	buffer := make([]byte, 32*kibibyte)
	for {
		n, err := response.Body.Read(buffer)
		text.Write(buffer[:n])
		if err != nil {
			return strings.Contains(text.String(), "shard-"+modelPool+"/endpoint-")
		}
	}
}

// Measures the calls to the platform in the first seconds after an outage.
func TestCapacityHerd(t *testing.T) {
	var s capacity.Series
	for _, hosts := range []int{7, 14, 28} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			c := startCluster(t, options{hosts: hosts})
			time.Sleep(startupSettleTime)
			c.setFault("platform", `{"outage": true}`)
			time.Sleep(20 * time.Second)
			c.setFault("platform", `{"outage": false}`)
			last, peak := c.platformCalls(), 0.0
			for second := range 10 {
				time.Sleep(time.Second)
				now := c.platformCalls()
				calls := now.Watches + now.Reads + now.Writes - last.Watches - last.Reads - last.Writes
				s.Add(fmt.Sprintf("calls in the seconds, %d hosts", hosts), float64(second+1), calls)
				last, peak = now, max(peak, calls)
			}
			s.Add("most calls in a second", float64(hosts), peak)
		})
	}
	saveSeries(t, "herd", &s)
}

// Measures the cost of pools with idle hosts. Each entry host reports to the
// owner of every pool shard.
func TestCapacityPools(t *testing.T) {
	var s capacity.Series
	for _, pools := range []int{3, 5, 10, 20, 40} {
		t.Run(fmt.Sprint(pools), func(t *testing.T) {
			c := startCluster(t, options{hosts: 4, ledgers: pools - 1, tuneManifest: addPools})
			time.Sleep(startupSettleTime)
			m := c.measure(sleepFor(loadWindow))
			m.addHostUsage(&s, float64(pools))
			m.addPlatformRates(&s, float64(pools))
		})
	}
	saveSeries(t, "pools", &s)
}

// addPools moves each endpoint of the ledger pool to a pool of its own.
func addPools(m *manifest.Manifest) {
	shared := m.Pools[1]
	m.Pools[1].Endpoints = shared.Endpoints[:1]
	for i, e := range shared.Endpoints[1:] {
		pool := shared
		pool.Name = fmt.Sprintf("pool-%02d", i)
		pool.Endpoints = []manifest.Endpoint{e}
		m.Pools = append(m.Pools, pool)
	}
}
