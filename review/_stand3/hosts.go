package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		cleanUp()
		os.Exit(2)
	}
}

var (
	allHosts []*host
	hostsMu  sync.Mutex
	folder   string
)

// cleanUp ends all processes that were started.
func cleanUp() {
	hostsMu.Lock()
	defer hostsMu.Unlock()
	for _, h := range allHosts {
		h.mu.Lock()
		if h.cmd != nil {
			_ = h.cmd.Process.Kill()
			<-h.ended
		}
		h.mu.Unlock()
	}
}

// host is one process of the deploy file's only role.
type host struct {
	name, ip, zone, store   string
	front, readiness, peers string
	settings                string
	mu                      sync.Mutex
	cmd                     *exec.Cmd
	ended                   chan struct{}
	code                    int
	disturbed               time.Time // of the last signal or start
	unplanned               time.Time
	stopping                bool
	edit                    func(map[string]any)
}

func newHost(i int, zone, store string) *host {
	h := &host{name: fmt.Sprintf("front-%s-%d", zone, i), ip: fmt.Sprintf("127.0.%d.%d", 10+i/200, 1+i%200), zone: zone, store: store}
	h.front, h.readiness, h.peers = freePort(h.ip), freePort(h.ip), freePort(h.ip)
	h.settings = filepath.Join(folder, h.name+".json")
	hostsMu.Lock()
	allHosts = append(allHosts, h)
	hostsMu.Unlock()
	return h
}

// freePort returns an address on which nothing listens. The ports lie below those that outgoing
// connections take.
func freePort(ip string) string {
	for range 200 {
		if l, err := net.Listen("tcp", fmt.Sprint(ip, ":", 12_000+rand.Intn(18_000))); err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	check(errors.New("no free port"))
	return ""
}

// writeSettings fills deploy/host.json.template in.
func (h *host) writeSettings() {
	s := map[string]any{
		"host": h.name, "region": "r", "availability_zone": h.zone,
		"zones":       []any{map[string]any{"name": "za", "region": "r"}, map[string]any{"name": "zb", "region": "r"}, map[string]any{"name": "zc", "region": "r"}},
		"evacuations": false, "callers": h.front, "readiness": h.readiness, "peers": h.peers,
		"processor_share": 0.4, "processor_speed": 1, "memory_mb": num("MEMORY_MB", 284), "max_files": 4100, "store": "http://" + h.store,
		"limit_overage": 0.1, "limit_slack": 140000, "limit_window_s": 8, "repeat_share": 0.2, "repeat_burst": 54,
		"wait_shares": []float64{0.3, 0.2, 0.1}, "account_shares": true, "expose_share": 0.1, "expose_free": 50,
		"zone_aware_placement": true, "grace_s": 8,
	}
	if h.edit != nil {
		h.edit(s)
	}
	raw, err := json.Marshal(s)
	check(err)
	check(os.WriteFile(h.settings, raw, 0o644))
}

var program = "target/kingcup-host"

func (h *host) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writeSettings()
	out, err := os.OpenFile(filepath.Join(folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	h.cmd = exec.Command(program, "--settings="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = out, out
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KINGCUPCOURSE_CONFIG=" + h.settings}
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(h.cmd.Start())
	h.ended, h.disturbed, h.stopping = make(chan struct{}), time.Now(), false
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		_ = out.Close()
		h.code = cmd.ProcessState.ExitCode()
		close(ended)
	}(h.cmd, h.ended)
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbed = time.Now()
	if s != syscall.SIGTERM && s != syscall.SIGHUP {
		h.unplanned = h.disturbed
	}
	if s == syscall.SIGTERM {
		h.stopping = true
	}
	_ = h.cmd.Process.Signal(s)
}

func (h *host) wait() { <-h.ended }

func (h *host) alive() bool {
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

func (h *host) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + h.readiness + "/kingcupcourse/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == 200
}

func awaitReady(hosts []*host, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, h := range hosts {
			all = all && h.ready()
		}
		if all {
			return true
		}
	}
	return false
}

// peakMemory returns the most memory that the process has had, in kB.
func (h *host) peakMemory() string {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	for _, line := range strings.Split(string(raw), "\n") {
		if strings.HasPrefix(line, "VmHWM") {
			return strings.Join(strings.Fields(line)[1:], " ")
		}
	}
	return "unknown"
}
