package integration

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/standin/engine"
	"kingcupcourse/internal/standin/ledger"
)

const (
	oldVersion = core.Version("v1")
	newVersion = core.Version("v2")
	// oldEndpoints is the number of endpoints with the old version in a moving
	// pool; one more endpoint has the new version.
	oldEndpoints = 2
	// maxShare is the largest share of the new version while it is unproved.
	maxShare = 0.2
	// callersPerPool is the number of callers that send requests to a moving pool.
	callersPerPool = 4
	// The largest share is computed over the last shareWindow placements, or
	// over all while there are fewer, but never over fewer than minShareSamples.
	shareWindow, minShareSamples = 200, 20
)

// movingPool is a pool with a planned move from oldVersion to newVersion.
type movingPool struct {
	name string
	kind core.Kind
	// fault is the JSON fault set at the new version's endpoint before the move.
	fault string
	// deadline is the time from the commit of the move to its deadline; soak may
	// be zero.
	deadline, soak time.Duration
	// ignoresFence makes the endpoints apply orders with any fencing number.
	ignoresFence bool
	// stepSlowdown is the fraction by which each running request lengthens a
	// step of the engines.
	stepSlowdown float64
}

func (p movingPool) moveName() string { return "move-" + p.name }

// candidateName returns the name of the endpoint with the new version.
func (p movingPool) candidateName() string { return fmt.Sprintf("%s-%d", p.name, oldEndpoints) }

// movingCluster is a cluster with planned moves and with traffic for each pool.
type movingCluster struct {
	*cluster
	pools   []movingPool
	traffic map[string]*traffic
	// candidates are the endpoints with the new version, in the order of pools.
	candidates []manifest.Endpoint
}

// startMoves starts a cluster of three hosts and the traffic of each pool, and
// then commits the moves together with the endpoints of the new versions.
func startMoves(t *testing.T, pools ...movingPool) *movingCluster {
	t.Helper()
	m := &movingCluster{pools: pools, traffic: map[string]*traffic{}}
	c := startCluster(t, options{tuneFleet: func(c *cluster) {
		for _, p := range pools {
			m.candidates = append(m.candidates, addPool(c, p))
		}
	}})
	m.cluster = c
	m.awaitOwners()
	for i, p := range pools {
		if p.fault != "" {
			c.setFault(p.candidateName(), p.fault)
		}
		m.traffic[p.name] = c.startTraffic(callersPerPool, uint64(i+1), poolCalls(p.name, p.kind))
	}
	for i, p := range pools {
		pool := &c.manifest.Pools[len(c.manifest.Pools)-len(pools)+i]
		pool.Endpoints = append(pool.Endpoints, m.candidates[i])
		c.manifest.Moves = append(c.manifest.Moves, manifest.Move{Name: p.moveName(), Pool: p.name,
			FromVersion: oldVersion, ToVersion: newVersion, MaxShare: maxShare,
			DeadlineUnixMS: time.Now().Add(p.deadline).UnixMilli(), SoakMS: max(1, p.soak.Milliseconds())})
	}
	c.commitManifest()
	return m
}

// awaitOwners waits until every host knows the owner of each pool, which is when
// it accepts a run-once request.
func (m *movingCluster) awaitOwners() {
	m.t.Helper()
	for _, p := range m.pools {
		for i, h := range m.hosts {
			m.await(fmt.Sprintf("owner of %s for host %d", p.name, i), 20*time.Second, func() bool {
				return m.send(m.t.Context(), h, poolCalls(p.name, p.kind)(0)).disposition == ""
			})
		}
	}
}

// addPool adds a pool with the endpoints of the old version. It returns the
// endpoint of the new version, whose stand-in is added as well but which is not
// yet in the pool.
func addPool(c *cluster, p movingPool) (candidate manifest.Endpoint) {
	pool := manifest.Pool{Name: p.name, Kind: p.kind, ChecksFence: !p.ignoresFence}
	for i := range oldEndpoints + 1 {
		e := manifest.Endpoint{Name: fmt.Sprintf("%s-%d", p.name, i), Address: unusedAddress(c.t),
			AvailabilityZone: zones[i%len(zones)], Version: oldVersion, Slots: 8}
		if i == oldEndpoints {
			e.Version = newVersion
		}
		if p.kind == core.KindService {
			c.fleet.Ledgers = append(c.fleet.Ledgers, ledger.Config{Name: e.Name, Address: e.Address,
				Version: string(e.Version), ServiceTimeMS: 20, Concurrency: e.Slots, Seed: uint64(i),
				CheckFence: pool.ChecksFence, LoadTimeMS: 500})
		} else {
			e.PrefillRate, e.DecodeRate = 8000, 100
			c.fleet.Engines = append(c.fleet.Engines, engine.Config{Name: e.Name, Address: e.Address,
				Version: string(e.Version), Slots: e.Slots, PrefillTokensPerSecond: e.PrefillRate,
				DecodeTokensPerSecond: e.DecodeRate, StepSlowdown: p.stepSlowdown, LoadLagMS: 300, Seed: uint64(i),
				CheckFence: pool.ChecksFence, LoadTimeMS: 500})
		}
		if i < oldEndpoints {
			pool.Endpoints = append(pool.Endpoints, e)
		}
		candidate = e
	}
	c.manifest.Pools = append(c.manifest.Pools, pool)
	c.manifest.Routes = append(c.manifest.Routes, poolRoutes(p)...)
	return candidate
}

func poolRoutes(p movingPool) []manifest.Route {
	once := manifest.Route{Name: p.name + "-once", Pool: p.name, Methods: []string{http.MethodPost}, Tier: 1, RunOnce: true}
	retryable := manifest.Route{Name: p.name + "-repeatable", Pool: p.name, Tier: 2}
	if p.kind == core.KindService {
		once.Path, retryable.Path = "/"+p.name+"/file", "/"+p.name+"/look-up"
	} else {
		once.Path, retryable.Path = "/v1/chat/completions", "/v1/completions"
		once.Model, retryable.Model = p.name, p.name
	}
	return []manifest.Route{once, retryable}
}

// status returns the status object of a move, or the zero value if there is
// none.
func (m *movingCluster) status(p movingPool) (status message.MoveStatus) {
	m.t.Helper()
	var object struct {
		Value message.MoveStatus `json:"value"`
	}
	if m.getJSON(m.platformURL+"/v1/objects/status/moves/"+p.moveName(), &object) == nil {
		status = object.Value
	}
	return status
}

// awaitStage waits until the move is in one of the stages.
func (m *movingCluster) awaitStage(p movingPool, limit time.Duration, stages ...message.Stage) {
	m.t.Helper()
	m.await(fmt.Sprintf("%s %v", p.moveName(), stages), limit, func() bool {
		return slices.Contains(stages, m.status(p).Stage)
	})
}

// awaitMoveEnd waits until a move is done or reverted, at most one second longer
// than its deadline, and returns its status.
func (m *movingCluster) awaitMoveEnd(p movingPool) message.MoveStatus {
	m.t.Helper()
	m.awaitStage(p, p.deadline+time.Second, message.StageDone, message.StageReverted)
	return m.status(p)
}

// isJudgedBad reports whether the platform stores a verdict on the new version.
func (m *movingCluster) isJudgedBad(p movingPool) bool {
	return m.getJSON(m.platformURL+"/v1/objects/verdicts/"+p.name+"/"+string(newVersion), nil) == nil
}

// holder returns the host that holds the lease of the move.
func (m *movingCluster) holder(p movingPool) *host {
	m.t.Helper()
	holder := m.status(p).Holder
	for _, h := range m.hosts {
		if len(holder) > len(h.name) && holder[:len(h.name)+1] == h.name+"/" {
			return h
		}
	}
	m.t.Fatalf("%s: no host matches the holder %q", p.moveName(), holder)
	return nil
}

// logLine is a log line of a process with the fields that tests read.
type logLine struct {
	Time     string       `json:"ts"`
	Message  string       `json:"msg"`
	Pool     string       `json:"pool"`
	Version  core.Version `json:"version"`
	Endpoint string       `json:"endpoint"`
	Attempt  string       `json:"attempt"`
	Detail   string       `json:"detail"`
	Share    float64      `json:"share"`
	at       time.Time
}

// poolLogLines returns the log lines of a process about a pool in order.
func (p *process) poolLogLines(pool string) (lines []logLine) {
	p.t.Helper()
	file, err := os.Open(p.logPath)
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var line logLine
		if json.Unmarshal(scanner.Bytes(), &line) != nil || line.Pool != pool {
			continue
		}
		line.at, err = time.Parse("2006-01-02T15:04:05.000Z0700", line.Time)
		if err == nil {
			lines = append(lines, line)
		}
	}
	return lines
}

// findLogLines returns the lines with a message in the logs of all processes of
// a role, sorted by time.
func (m *movingCluster) findLogLines(role func(*host) *process, p movingPool, text string) (found []logLine) {
	for _, h := range m.hosts {
		for _, line := range role(h).poolLogLines(p.name) {
			if line.Message == text {
				found = append(found, line)
			}
		}
	}
	slices.SortStableFunc(found, func(a, b logLine) int { return a.at.Compare(b.at) })
	return found
}

func schedulerOf(h *host) *process { return h.scheduler }
func entryOf(h *host) *process     { return h.entry }

// dispatches returns the dispatches of all entries for a pool, without the
// grants that were not used.
func (m *movingCluster) dispatches(p movingPool) []logLine {
	unused := map[string]bool{}
	for _, end := range m.findLogLines(entryOf, p, "attempt ended") {
		if end.Detail == "the version was judged bad after the grant" {
			unused[end.Attempt] = true
		}
	}
	return slices.DeleteFunc(m.findLogLines(entryOf, p, "placed"), func(l logLine) bool { return unused[l.Attempt] })
}

// verdictTime returns when the first scheduler judged the new version bad, or
// zero if none has.
func (m *movingCluster) verdictTime(p movingPool) time.Time {
	if found := m.findLogLines(schedulerOf, p, "version judged bad"); len(found) > 0 {
		return found[0].at
	}
	return time.Time{}
}

// largestShare returns the new version's largest share of the placements. The
// owner of the pool logs placements in the order in which it makes them.
func (m *movingCluster) largestShare(p movingPool) (share float64) {
	placed := m.findLogLines(schedulerOf, p, "placed")
	count := 0
	for i, line := range placed {
		if line.Version == newVersion {
			count++
		}
		if i >= shareWindow && placed[i-shareWindow].Version == newVersion {
			count--
		}
		if i+1 >= minShareSamples {
			share = max(share, float64(count)/float64(min(i+1, shareWindow)))
		}
	}
	return share
}

// lastDispatch returns the time of the last dispatch to the new version by any
// entry.
func (m *movingCluster) lastDispatch(p movingPool) (last time.Time) {
	for _, line := range m.dispatches(p) {
		if line.Version == newVersion {
			last = line.at
		}
	}
	return last
}

// orders lists the orders that an endpoint has received.
type orders struct {
	Orders []struct {
		Order   string `json:"order"`
		Fence   uint64 `json:"fence"`
		Applied bool   `json:"obeyed"`
	} `json:"orders"`
}

func (m *movingCluster) orders(p movingPool) (o orders) {
	m.t.Helper()
	if err := m.getJSON(m.adminURL+"/"+p.candidateName()+"/admin/stats", &o); err != nil {
		m.t.Fatal(err)
	}
	return o
}

// expectRunAtMostOnce fails the test if a run-once request ran more than once.
func (m *movingCluster) expectRunAtMostOnce(t *testing.T, p movingPool) {
	t.Helper()
	once := map[string]bool{}
	for _, s := range m.traffic[p.name].calls {
		if s.key != "" {
			once[s.requestID] = true
		}
	}
	runs := map[string]int{}
	for i := range oldEndpoints + 1 {
		for id, n := range m.stats(fmt.Sprintf("%s-%d", p.name, i)).Runs {
			runs[id] += n
		}
	}
	for id := range once {
		if runs[id] > 1 {
			t.Errorf("%s: request %s ran %d times", p.name, id, runs[id])
		}
	}
}
