package integration

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/settings"
	"kingcupcourse/internal/standin"
	"kingcupcourse/internal/standin/engine"
	"kingcupcourse/internal/standin/ledger"
	"kingcupcourse/internal/standin/platform"
)

const (
	region      = core.Region("pk-north")
	accountKey  = "sample-key"
	accountName = "registrar"
	// Names of the pools and of the models that the routes match.
	modelPool    = "citation"
	ledgerPool   = "nominations"
	draftModel   = "draft"   // tier 1, runs at most once
	summaryModel = "summary" // tier 2, may be retried
	noteModel    = "note"    // tier 3, may be retried
)

// zones are the availability zones of the region.
var zones = []core.AvailabilityZone{"pk-north-a", "pk-north-b", "pk-north-c"}

// options customizes the standard cluster; zero values keep its defaults.
type options struct {
	hosts int
	// tuneEngine and tuneLedger adjust the configuration of stand-in i, counted
	// from 0.
	engines, ledgers int
	tuneEngine       func(i int, c *engine.Config)
	tuneLedger       func(i int, c *ledger.Config)
	tuneManifest     func(m *manifest.Manifest)
	// tuneFleet adds stand-ins and their manifest entries.
	tuneFleet     func(c *cluster)
	tuneScheduler func(s *settings.Scheduler)
}

// host is one entry host with a process of each role.
type host struct {
	name                      string
	entry, scheduler, rollout *process
	// baseURL is the URL that callers use; the others are HOST:PORT addresses.
	baseURL                                        string
	entryControl, entryAdmin                       string
	schedulerControl, schedulerAdmin, rolloutAdmin string
}

// cluster is a complete system of real processes that run against stand-ins.
type cluster struct {
	t           *testing.T
	folder      string
	standIns    *process
	adminURL    string // base URL of the stand-ins' fault controls
	platformURL string // base URL of the platform
	manifest    manifest.Manifest
	fleet       standin.Fleet
	hosts       []*host
	client      *http.Client
}

// startCluster starts the stand-ins and the entry hosts and waits until all
// are ready.
func startCluster(t *testing.T, o options) *cluster {
	t.Helper()
	c := &cluster{t: t, folder: testFolder(t), client: &http.Client{}}
	t.Cleanup(c.client.CloseIdleConnections)
	c.buildFleet(o)
	c.buildHosts(o)
	c.startStandIns()
	c.commitManifest()
	for _, h := range c.hosts {
		h.entry.start()
		h.scheduler.start()
		h.rollout.start()
	}
	for _, h := range c.hosts {
		c.awaitReady(h.entryAdmin)
		c.awaitReady(h.schedulerAdmin)
		c.awaitReady(h.rolloutAdmin)
	}
	return c
}

func (c *cluster) buildFleet(o options) {
	c.adminURL = "http://" + unusedAddress(c.t)
	platformAddress := unusedAddress(c.t)
	c.platformURL = "http://" + platformAddress
	c.fleet = standin.Fleet{AdminAddress: c.adminURL[len("http://"):],
		Platform: &platform.Config{Name: "platform", Address: platformAddress}}
	model := manifest.Pool{Name: modelPool, Kind: core.KindModel, ChecksFence: true}
	for i := range max(o.engines, 2) {
		e := engine.Config{Name: fmt.Sprintf("engine-%d", i), Address: unusedAddress(c.t), Version: "v1", Slots: 8,
			PrefillTokensPerSecond: 8000, DecodeTokensPerSecond: 100, LoadLagMS: 300, CheckFence: true, Seed: uint64(i + 1)}
		if o.tuneEngine != nil {
			o.tuneEngine(i, &e)
		}
		c.fleet.Engines = append(c.fleet.Engines, e)
		model.Endpoints = append(model.Endpoints, manifest.Endpoint{Name: e.Name, Address: e.Address,
			AvailabilityZone: zones[i%len(zones)], Version: core.Version(e.Version), Slots: e.Slots,
			PrefillRate: e.PrefillTokensPerSecond, DecodeRate: e.DecodeTokensPerSecond})
	}
	service := manifest.Pool{Name: ledgerPool, Kind: core.KindService}
	for i := range max(o.ledgers, 2) {
		l := ledger.Config{Name: fmt.Sprintf("ledger-%d", i), Address: unusedAddress(c.t), Version: "v1",
			ServiceTimeMS: 5, Concurrency: 8, Seed: uint64(100 + i)}
		if o.tuneLedger != nil {
			o.tuneLedger(i, &l)
		}
		c.fleet.Ledgers = append(c.fleet.Ledgers, l)
		service.Endpoints = append(service.Endpoints, manifest.Endpoint{Name: l.Name, Address: l.Address,
			AvailabilityZone: zones[i%len(zones)], Version: core.Version(l.Version), Slots: l.Concurrency})
	}
	c.manifest = standardManifest(model, service)
	if o.tuneFleet != nil {
		o.tuneFleet(c)
	}
	if o.tuneManifest != nil {
		o.tuneManifest(&c.manifest)
	}
}

func standardManifest(pools ...manifest.Pool) manifest.Manifest {
	hash := sha256.Sum256([]byte(accountKey))
	completions := func(name, model string, tier core.Tier, once bool) manifest.Route {
		return manifest.Route{Name: name, Pool: modelPool, Methods: []string{http.MethodPost},
			Path: "/v1/completions", Model: model, Tier: tier, RunOnce: once}
	}
	return manifest.Manifest{
		Deployment:     "integration",
		Regions:        []manifest.Region{{Name: region, AvailabilityZones: zones}},
		ClientAccounts: []manifest.ClientAccount{{Name: accountName, KeySHA256: []string{hex.EncodeToString(hash[:])}}},
		Pools:          pools,
		Routes: []manifest.Route{
			completions("draft", draftModel, 1, true),
			completions("summary", summaryModel, 2, false),
			completions("note", noteModel, 3, false),
			{Name: "file", Pool: ledgerPool, Methods: []string{http.MethodPost}, Path: "/v1/entries", Tier: 1, RunOnce: true},
			{Name: "look-up", Pool: ledgerPool, Methods: []string{http.MethodGet}, Path: "/v1/entries/", Tier: 2},
			{Name: "balance", Pool: ledgerPool, Methods: []string{http.MethodGet}, Path: "/v1/balances/", Tier: 1},
		},
	}
}

func (c *cluster) buildHosts(o options) {
	count := max(o.hosts, 3)
	var peers []string
	for i := range count {
		c.hosts = append(c.hosts, &host{name: fmt.Sprintf("host-%d", i+1), entryControl: unusedAddress(c.t)})
		peers = append(peers, c.hosts[i].entryControl)
	}
	for i, h := range c.hosts {
		common := func(role string) (settings.Common, string) {
			admin := unusedAddress(c.t)
			return settings.Common{Host: h.name, Region: region, AvailabilityZone: zones[i%len(zones)],
				Control: unusedAddress(c.t), Admin: admin, Peers: peers, Platform: c.platformURL,
				FaultInjection: true, DrainDelayMS: 500, DrainMS: 30_000}, filepath.Join(c.folder, h.name+"-"+role+".json")
		}
		entry, path := common("entry")
		entry.Control = h.entryControl
		callers := unusedAddress(c.t)
		h.baseURL, h.entryAdmin = "http://"+callers, entry.Admin
		c.writeJSON(path, settings.Entry{Common: entry, Callers: callers})
		h.entry = newProcess(c.t, c.folder, h.name+"-entry", "kingcup-entry", "--settings", path)

		scheduler, path := common("scheduler")
		h.schedulerControl, h.schedulerAdmin = scheduler.Control, scheduler.Admin
		schedulerSettings := settings.Scheduler{Common: scheduler}
		if o.tuneScheduler != nil {
			o.tuneScheduler(&schedulerSettings)
		}
		c.writeJSON(path, schedulerSettings)
		h.scheduler = newProcess(c.t, c.folder, h.name+"-scheduler", "kingcup-scheduler", "--settings", path)

		rollout, path := common("rollout")
		h.rolloutAdmin = rollout.Admin
		c.writeJSON(path, settings.Rollout{Common: rollout})
		h.rollout = newProcess(c.t, c.folder, h.name+"-rollout", "kingcup-rollout", "--settings", path)
	}
}

func (c *cluster) writeJSON(path string, value any) {
	c.t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		c.t.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o644); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) startStandIns() {
	c.t.Helper()
	path := filepath.Join(c.folder, "fleet.json")
	c.writeJSON(path, c.fleet)
	c.standIns = newProcess(c.t, c.folder, "stand-ins", "kingcup-standin", "fleet", "--file", path)
	c.standIns.start()
	c.await("stand-ins", 10*time.Second, func() bool { return c.getJSON(c.adminURL+"/platform/admin/stats", nil) == nil })
}

// commitManifest commits the cluster's manifest as an operator would.
func (c *cluster) commitManifest() {
	c.t.Helper()
	path := filepath.Join(c.folder, "manifest.json")
	c.writeJSON(path, c.manifest)
	if out, err := c.runCtl("commit", "--platform", c.platformURL, path); err != nil {
		c.t.Fatalf("commit: %v\n%s", err, out)
	}
}

// runCtl runs kingcupctl and returns its combined output.
func (c *cluster) runCtl(arguments ...string) (string, error) {
	out, err := exec.Command(filepath.Join(binaryFolder, "kingcupctl"), arguments...).CombinedOutput()
	return string(out), err
}

func (c *cluster) awaitReady(admin string) {
	c.t.Helper()
	c.await("ready "+admin, 20*time.Second, func() bool { return c.getJSON("http://"+admin+"/readyz", nil) == nil })
}

// await polls the condition and fails the test unless it becomes true within the
// limit.
func (c *cluster) await(what string, limit time.Duration, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("%s: not within %v", what, limit)
		}
	}
}

// getJSON gets a URL and decodes its JSON response into target, unless that is
// nil.
func (c *cluster) getJSON(url string, target any) error {
	response, err := c.client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	if target == nil {
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	return json.NewDecoder(response.Body).Decode(target)
}

// setFault patches the fault settings of a stand-in with a JSON object.
func (c *cluster) setFault(standIn, patch string) {
	c.t.Helper()
	response, err := c.client.Post(c.adminURL+"/"+standIn+"/admin/fault", "application/json", bytes.NewBufferString(patch))
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(response.Body)
		c.t.Fatalf("fault %s %s: %s %s", standIn, patch, response.Status, text)
	}
}

// endpointStats holds the counters of a stand-in endpoint.
type endpointStats struct {
	Runs     map[string]int `json:"runs"`
	Started  int            `json:"started"`
	Finished int            `json:"finished"`
	Crashes  int            `json:"crashes"`
}

// stats reads the counters of a stand-in.
func (c *cluster) stats(standIn string) endpointStats {
	c.t.Helper()
	var s endpointStats
	if err := c.getJSON(c.adminURL+"/"+standIn+"/admin/stats", &s); err != nil {
		c.t.Fatalf("stats of %s: %v", standIn, err)
	}
	return s
}

// endpoints returns the names of all engines and ledgers.
func (c *cluster) endpoints() []string {
	var names []string
	for _, e := range c.fleet.Engines {
		names = append(names, e.Name)
	}
	for _, l := range c.fleet.Ledgers {
		names = append(names, l.Name)
	}
	return names
}

// retryAfter returns the Retry-After header of a response in seconds, or zero if
// there is none.
func retryAfter(r *http.Response) int {
	seconds, _ := strconv.Atoi(r.Header.Get("Retry-After"))
	return seconds
}

// testFolder returns the folder for the settings and logs of a test. It is kept
// below KINGCUP_TEST_OUT if that is set, and otherwise removed after the test.
func testFolder(t *testing.T) string {
	t.Helper()
	out := os.Getenv("KINGCUP_TEST_OUT")
	if out == "" {
		return t.TempDir()
	}
	folder := filepath.Join(out, t.Name())
	if err := os.MkdirAll(folder, 0o755); err != nil {
		t.Fatal(err)
	}
	return folder
}
