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

// propagationTimeout is how long a change of configuration may take to be in force
// everywhere.
const propagationTimeout = 4 * time.Second

// manifestVersionAt returns the manifest version in force at a process, zero if the
// process does not answer.
func (c *cluster) manifestVersionAt(control string) uint64 {
	var status message.Status
	ctx, cancel := context.WithTimeout(c.t.Context(), time.Second)
	defer cancel()
	if codec.Call(ctx, c.client, control, message.PathStatus, message.StatusRequest{}, &status) != nil {
		return 0
	}
	return status.ManifestVersion
}

// controlAddresses returns the control addresses of all processes that place work.
func (c *cluster) controlAddresses() []string {
	var all []string
	for _, h := range c.hosts {
		all = append(all, h.entryControl, h.schedulerControl)
	}
	return all
}

// lowestManifestVersion returns the lowest version in force at any of the processes.
func (c *cluster) lowestManifestVersion() uint64 {
	lowest := ^uint64(0)
	for _, control := range c.controlAddresses() {
		lowest = min(lowest, c.manifestVersionAt(control))
	}
	return lowest
}

// commitWeight commits the manifest with another weight of the account and returns
// the new version.
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

// A committed manifest is in force at every process of seven hosts in time,
// and neither a restart during an outage nor a process that starts before
// the platform is back brings an older one back.
func TestConfigurationReachesAllProcesses(t *testing.T) {
	c := startCluster(t, options{hosts: 7})
	var slowest time.Duration
	for i := range 5 {
		version := c.commitWeight(float64(i + 2))
		began := time.Now()
		c.await("configuration in force", propagationTimeout, func() bool { return c.lowestManifestVersion() >= version })
		slowest = max(slowest, time.Since(began))
	}
	t.Logf("in force at all %d processes within %v, the slowest of 5 changes", len(c.controlAddresses()), slowest)
	version := c.lowestManifestVersion()
	c.setFault("platform", `{"outage": true}`)
	hit := c.hosts[2]
	hit.entry.kill()
	hit.scheduler.kill()
	hit.entry.start()
	hit.scheduler.start()
	c.awaitReady(hit.entryAdmin)
	c.awaitReady(hit.schedulerAdmin)
	if got := c.lowestManifestVersion(); got < version {
		t.Errorf("version %d is in force after a restart during an outage, want %d", got, version)
	}
	c.setFault("platform", `{"outage": false}`)
	next := c.commitWeight(99)
	c.await("configuration after the outage", propagationTimeout+2*time.Second, func() bool { return c.lowestManifestVersion() >= next })
}

// Two operators commit different manifests over the same version: one is
// accepted, and the other is told what changed.
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
			t.Errorf("operator %d is not told what changed (exit %d): %s", i, codes[i], out)
		}
	}
	if accepted != 1 {
		t.Errorf("%d commits over the same version were accepted, want 1: %q", accepted, outputs)
	}
}
