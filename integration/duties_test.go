package integration

import (
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"
)

// killInterval keeps the failures of one supervisor below its intensity.
const killInterval = 3500 * time.Millisecond

// dutyPaths lists the paths of all dutyPaths of a process.
func (c *cluster) dutyPaths(admin string) []string {
	c.t.Helper()
	response, err := c.client.Get("http://" + admin + "/debug/children")
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return strings.Fields(string(text))
}

// killDuty fails one duty of a process and returns the status.
func (c *cluster) killDuty(admin, duty string) int {
	response, err := c.client.Post("http://"+admin+"/debug/kill?child="+url.QueryEscape(duty), "", nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Every duty of every role is killed under traffic; its supervisor starts it
// again and no promise is broken.
func TestEveryDutyKilledUnderTraffic(t *testing.T) {
	c := startCluster(t, options{})
	h, stop := c.startRandomTraffic(t, 6, 8)
	var killing sync.WaitGroup
	for _, role := range []string{"entry", "scheduler", "rollout"} {
		for i, hit := range c.hosts {
			admin := map[string]string{"entry": hit.entryAdmin, "scheduler": hit.schedulerAdmin, "rollout": hit.rolloutAdmin}[role]
			killing.Go(func() { c.killDutySubset(admin, i) })
		}
	}
	killing.Wait()
	time.Sleep(recoveryTime)
	stop()
	for _, hit := range c.hosts {
		for _, p := range []*process{hit.entry, hit.scheduler, hit.rollout} {
			if err := p.waitExit(0); !errors.Is(err, errStillRunning) {
				t.Errorf("%s ended: %v", p.name, err)
			}
		}
		c.awaitReady(hit.entryAdmin)
	}
	c.checkHistory(h, accountName)
	expectMostServed(t, h)
}

// killDutySubset kills the duties of one process whose number falls to it, so
// that the processes of a role share the duties.
func (c *cluster) killDutySubset(admin string, part int) {
	for n, duty := range c.dutyPaths(admin) {
		if n%len(c.hosts) != part {
			continue
		}
		if status := c.killDuty(admin, duty); status != http.StatusOK && status != http.StatusNotFound {
			c.t.Errorf("kill %s: status %d", duty, status)
		}
		time.Sleep(killInterval)
	}
}

// A duty that fails again and again ends its process with the exit code for
// it and the reason in the log.
func TestExceededRestartIntensityEndsProcess(t *testing.T) {
	c := startCluster(t, options{})
	hit := c.hosts[0]
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); {
		if c.killDuty(hit.rolloutAdmin, "control/members") == 0 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	err := hit.rollout.waitExit(20 * time.Second)
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 3 {
		t.Errorf("the process ended with %v, want exit code 3", err)
	}
	text, _ := os.ReadFile(hit.rollout.logPath)
	if !strings.Contains(string(text), "giving up") {
		t.Error("the log does not tell why the process gave up")
	}
}
