package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// readyPath is the path of the platform's readiness question.
const readyPath = "/kingcupcourse/readyz"

// host is a machine with one process of kingcup-host, as the platform runs it.
type host struct {
	name, settings, front, readiness string
	program                          string
	entrance                         *entrance
	log                              *os.File

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// stopping is set while the platform does not start the process again.
	stopping bool
	exits    []string
	inRound  bool
	misses   int
}

// The ports of the machines lie below those that the system gives to outgoing connections.
const firstPort, lastPort = 12_000, 31_000

// nextPort is the port to try next.
var nextPort = firstPort + rand.IntN(lastPort-firstPort)

// freePorts returns addresses that are free at present, each only once.
func freePorts(count int) ([]string, error) {
	var found []string
	for tries := 0; len(found) < count; tries++ {
		if tries > lastPort-firstPort {
			return nil, errors.New("no free ports")
		}
		if nextPort++; nextPort >= lastPort {
			nextPort = firstPort
		}
		address := fmt.Sprint("127.0.0.1:", nextPort)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		found = append(found, address)
	}
	return found, nil
}

// newHost writes the settings file of a machine, with the fields of the template that the
// deploy file names and the bounds of the deployment.
func newHost(folder, program string, s *store, name, zone string) (*host, error) {
	ports, err := freePorts(3)
	if err != nil {
		return nil, err
	}
	e, err := s.newEntrance()
	if err != nil {
		return nil, err
	}
	h := &host{name: name, program: program, front: ports[0], readiness: ports[1], entrance: e,
		settings: filepath.Join(folder, name+".json")}
	text, err := json.Marshal(map[string]any{
		"host": name, "region": "region", "availability_zone": zone,
		"callers": ports[0], "readiness": ports[1], "peers": ports[2],
		"processor_share": 0.4, "processor_speed": 1, "store": "http://" + e.address,
		"limit_overage": 0.1, "limit_slack": 140000, "limit_window_ms": 8000,
		"repeat_share": 0.2, "repeat_burst": 54, "expose_share": 0.1, "expose_free": 50, "grace_ms": 8000,
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(h.settings, text, 0o600); err != nil {
		return nil, err
	}
	h.log, err = os.Create(filepath.Join(folder, name+".log"))
	return h, err
}

// start starts the process. After an exit the platform starts it again.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	command := exec.Command(h.program, "--settings="+h.settings)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KINGCUPCOURSE_CONFIG=" + h.settings}
	command.Stdout, command.Stderr = h.log, h.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	h.command, h.exited = command, make(chan struct{})
	go h.await(command, h.exited)
	return nil
}

func (h *host) await(command *exec.Cmd, exited chan struct{}) {
	err := command.Wait()
	close(exited)
	h.mu.Lock()
	h.exits = append(h.exits, fmt.Sprint(err))
	again := !h.stopping
	h.mu.Unlock()
	if again {
		time.Sleep(500 * time.Millisecond)
		h.mu.Lock()
		again = !h.stopping
		h.mu.Unlock()
		if again {
			_ = h.start()
		}
	}
}

func (h *host) signal(signal syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command != nil {
		_ = h.command.Process.Signal(signal)
	}
}

// end ends the process for good.
func (h *host) end() {
	h.mu.Lock()
	h.stopping = true
	command, exited := h.command, h.exited
	h.mu.Unlock()
	if command != nil {
		_ = command.Process.Kill()
		<-exited
	}
	_ = h.log.Close()
}

// pid returns the process id.
func (h *host) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.command.Process.Pid
}

// memory returns the memory of a process without its program text and other files.
func memory(pid int) (bytes int64) {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if fields := strings.Fields(lines.Text()); len(fields) == 3 && fields[0] == "RssAnon:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

var readyClient = &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

func (h *host) ready() bool {
	response, err := readyClient.Get("http://" + h.readiness + readyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// balancer is a stand-in for the platform's entry. It asks each machine once a second
// whether it is ready, and names the machine for a new connection.
type balancer struct {
	hosts []*host
	stop  chan struct{}
}

func startBalancer(hosts []*host) *balancer {
	b := &balancer{hosts: hosts, stop: make(chan struct{})}
	for _, h := range hosts {
		go b.ask(h)
	}
	return b
}

func (b *balancer) ask(h *host) {
	for {
		ready := h.ready()
		h.mu.Lock()
		if ready {
			h.inRound, h.misses = true, 0
		} else if h.misses++; h.misses >= 2 {
			h.inRound = false
		}
		h.mu.Unlock()
		select {
		case <-time.After(time.Second):
		case <-b.stop:
			return
		}
	}
}

// pick returns the machine for the n-th connection of a client; all machines if none
// takes connections.
func (b *balancer) pick(n int) *host {
	var in []*host
	for _, h := range b.hosts {
		h.mu.Lock()
		if h.inRound {
			in = append(in, h)
		}
		h.mu.Unlock()
	}
	if len(in) == 0 {
		in = b.hosts
	}
	return in[n%len(in)]
}

// awaitReady waits until all hosts are ready.
func awaitReady(hosts []*host, most time.Duration) bool {
	for until := time.Now().Add(most); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
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
