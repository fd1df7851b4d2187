package integration

import (
	"context"
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/message"
)

// propagationTimeout is the limit for a configuration change to be in force in
// every entry and scheduler.
const propagationTimeout = 4 * time.Second

// manifestVersionAt returns the manifest version in force in a process, or zero
// if the process does not respond.
func (c *cluster) manifestVersionAt(control string) uint64 {
	var status message.Status
	ctx, cancel := context.WithTimeout(c.t.Context(), time.Second)
	defer cancel()
	if codec.Call(ctx, c.client, control, message.PathStatus, message.StatusRequest{}, &status) != nil {
		return 0
	}
	return status.ManifestVersion
}

// controlAddresses returns the control addresses of all entries and schedulers.
func (c *cluster) controlAddresses() []string {
	var all []string
	for _, h := range c.hosts {
		all = append(all, h.entryControl, h.schedulerControl)
	}
	return all
}

// lowestManifestVersion returns the lowest version in force in any entry or
// scheduler.
func (c *cluster) lowestManifestVersion() uint64 {
	lowest := ^uint64(0)
	for _, control := range c.controlAddresses() {
		lowest = min(lowest, c.manifestVersionAt(control))
	}
	return lowest
}

// commitWeight commits the manifest with another weight of the client account
// and returns the new version.
func (c *cluster) commitWeight(weight float64) uint64 {
	c.t.Helper()
	c.manifest.ClientAccounts[0].Weight = weight
	c.commitManifest()
	var object struct {
		Version uint64 `json:"version"`
	}
	if err := c.getJSON(c.platformURL+"/v1/objects/manifest", &object); err != nil {
		c.t.Fatal(err)
	}
	return object.Version
}

// A committed manifest must be in force in every entry and scheduler of seven
// hosts within the limit. A process that restarts during an outage, before the
// platform is back, must not bring an older version back into force.
func TestConfigurationReachesAllProcesses(t *testing.T) {
	c := startCluster(t, options{hosts: 7})
	var slowest time.Duration
	for i := range 5 {
		version := c.commitWeight(float64(i + 2))
		start := time.Now()
		c.await("configuration in force", propagationTimeout, func() bool { return c.lowestManifestVersion() >= version })
		slowest = max(slowest, time.Since(start))
	}
	t.Logf("in force in all %d processes within %v (slowest of 5 changes)", len(c.controlAddresses()), slowest)
	version := c.lowestManifestVersion()
	c.setFault("platform", `{"outage": true}`)
	target := c.hosts[2]
	target.entry.kill()
	target.scheduler.kill()
	target.entry.start()
	target.scheduler.start()
	c.awaitReady(target.entryAdmin)
	c.awaitReady(target.schedulerAdmin)
	if got := c.lowestManifestVersion(); got < version {
		t.Errorf("version %d is in force after a restart during an outage, want %d", got, version)
	}
	c.setFault("platform", `{"outage": false}`)
	next := c.commitWeight(99)
	c.await("configuration after the outage", propagationTimeout+2*time.Second, func() bool { return c.lowestManifestVersion() >= next })
}

// Several operators commit different manifests over the same version. Exactly
// one commit must be accepted; the others must report what has changed.
func TestConcurrentCommits(t *testing.T) {
	c := startCluster(t, options{})
	base := c.lowestManifestVersion()
	const operators = 6
	outputs, codes := make([]string, operators), make([]int, operators)
	var racing sync.WaitGroup
	for i := range operators {
		changed := c.manifest
		changed.ClientAccounts = append([]manifest.ClientAccount(nil), c.manifest.ClientAccounts...)
		changed.ClientAccounts[0].Weight = float64(10 + i)
		path := filepath.Join(c.folder, fmt.Sprintf("operator-%d.json", i))
		c.writeJSON(path, changed)
		racing.Go(func() {
			out, err := c.runCtl("commit", "--platform", c.platformURL, "--if-version", formatInt(int64(base)), path)
			outputs[i] = out
			var exit *exec.ExitError
			if errors.As(err, &exit) {
				codes[i] = exit.ExitCode()
			}
		})
	}
	racing.Wait()
	accepted := 0
	for i, out := range outputs {
		switch {
		case codes[i] == 0:
			accepted++
		case !strings.Contains(out, "not committed") || !strings.Contains(out, accountName):
			t.Errorf("output for operator %d does not say what has changed (exit code %d): %s", i, codes[i], out)
		}
	}
	if accepted != 1 {
		t.Errorf("%d commits over the same version were accepted, want 1: %q", accepted, outputs)
	}
}
