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

// killInterval keeps the failures of one supervisor below its restart
// intensity.
const killInterval = 3500 * time.Millisecond

// dutyPaths returns the paths of all duties of a process.
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

// killDuty makes one duty of a process fail and returns the HTTP status, or zero
// if the process does not respond.
func (c *cluster) killDuty(admin, duty string) int {
	response, err := c.client.Post("http://"+admin+"/debug/kill?child="+url.QueryEscape(duty), "", nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Kills every duty of every role under traffic. The supervisors must restart
// them, the processes must keep running, and no guarantee to a caller may be
// broken.
func TestEveryDutyKilledUnderTraffic(t *testing.T) {
	c := startCluster(t, options{})
	h, stop := c.startRandomTraffic(t, 6, 8)
	var killing sync.WaitGroup
	for _, role := range []string{"entry", "scheduler", "rollout"} {
		for i, target := range c.hosts {
			admin := map[string]string{"entry": target.entryAdmin, "scheduler": target.schedulerAdmin, "rollout": target.rolloutAdmin}[role]
			killing.Go(func() { c.killDutySubset(admin, i) })
		}
	}
	killing.Wait()
	time.Sleep(recoveryTime)
	stop()
	for _, target := range c.hosts {
		for _, p := range []*process{target.entry, target.scheduler, target.rollout} {
			if err := p.waitExit(0); !errors.Is(err, errStillRunning) {
				t.Errorf("%s ended: %v", p.name, err)
			}
		}
		c.awaitReady(target.entryAdmin)
	}
	c.checkHistory(h, accountName)
	expectMostServed(t, h)
}

// killDutySubset kills every nth duty of one process, beginning with number part,
// where n is the number of hosts. The processes of a role together cover all
// duties.
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

// A duty that fails more often than the restart intensity allows must end its
// process with exit code 3 and the reason in the log.
func TestExceededRestartIntensityEndsProcess(t *testing.T) {
	c := startCluster(t, options{})
	target := c.hosts[0]
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); {
		if c.killDuty(target.rolloutAdmin, "control/members") == 0 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	err := target.rollout.waitExit(20 * time.Second)
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 3 {
		t.Errorf("the process ended with %v, want exit code 3", err)
	}
	text, _ := os.ReadFile(target.rollout.logPath)
	if !strings.Contains(string(text), "giving up") {
		t.Error("the log does not say why the process gave up")
	}
}
