package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is one machine with the process of the deploy file, as the platform runs it: a
// process that ends is started again after a short delay, and one that exceeds the
// machine's memory is killed.
type host struct {
	name, zone              string
	settings, log           string
	front, readiness, peers string
	memoryMB                int
	values                  map[string]any // of the settings file

	mu      sync.Mutex
	command *exec.Cmd
	stopped bool
	peakKB  int
	ends    []end // of processes that ended by themselves
	// endExpected is set once the process has been told to end.
	endExpected bool
	stoppedAt   time.Time // when it then ended
	done        chan struct{}
}

// end is the end of a process that nobody asked for.
type end struct {
	at         time.Time
	reason     string
	overMemory bool
}

// restartDelay is the short delay after which the platform starts a process again.
const restartDelay = 300 * time.Millisecond

// freeAddress returns a loopback address whose port is free and below those that outgoing
// connections take, so that a host that starts again finds it free.
func freeAddress() string {
	for {
		listener, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(firstPort+rand.IntN(lastPort-firstPort)))
		if err != nil {
			continue
		}
		defer listener.Close()
		return listener.Addr().String()
	}
}

const firstPort, lastPort = 12000, 32000

// newHost writes the settings file of a host, as the template of the deploy file gives it.
func newHost(folder, name, zone, storeAddress string, memoryMB int) *host {
	h := &host{name: name, zone: zone, memoryMB: memoryMB, front: freeAddress(), readiness: freeAddress(), peers: freeAddress(),
		settings: filepath.Join(folder, name+".json"), log: filepath.Join(folder, name+".log"), done: make(chan struct{})}
	h.values = map[string]any{
		"host": name, "region": "r", "availability_zone": zone, "zones": []any{map[string]any{"name": zone, "region": "r"}},
		"evacuations": false, "callers": h.front, "readiness": h.readiness, "peers": h.peers,
		"processor_share": 0.4, "processor_speed": 1, "memory_mb": memoryMB, "max_files": 4100, "store": "http://" + storeAddress,
		"limit_overage": 0.1, "limit_slack": 140000, "limit_window_ms": 8000, "repeat_share": 0.2, "repeat_burst": 54,
		"wait_shares": []float64{0.3, 0.2, 0.1}, "account_shares": true, "expose_share": 0.1, "expose_free": 50,
		"zone_aware_placement": true, "grace_ms": 8000,
	}
	h.write()
	return h
}

// write writes the settings file.
func (h *host) write() {
	encoded, err := json.Marshal(h.values)
	if err == nil {
		err = os.WriteFile(h.settings, encoded, 0o600)
	}
	if err != nil {
		panic(err)
	}
}

// setStore replaces the address of the store.
func (h *host) setStore(address string) {
	h.values["store"] = "http://" + address
	h.write()
}

// run keeps the process running until stop.
func (h *host) run() {
	defer close(h.done)
	// The kernel ends the process with the thread that started it, if the case itself dies.
	runtime.LockOSThread()
	for {
		h.mu.Lock()
		if h.stopped {
			h.mu.Unlock()
			return
		}
		out, err := os.OpenFile(h.log, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
		if err != nil {
			panic(err)
		}
		h.command = exec.Command("target/kingcup-host", "--settings="+h.settings)
		h.command.Stdout, h.command.Stderr = out, out
		h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := h.command.Start(); err != nil {
			panic(err)
		}
		process := h.command
		h.mu.Unlock()
		overMemory := make(chan struct{})
		watchEnded := make(chan struct{})
		go h.watchMemory(process.Process.Pid, overMemory, watchEnded)
		err = process.Wait()
		close(watchEnded)
		_ = out.Close()
		h.mu.Lock()
		switch {
		case h.stopped:
		case h.endExpected:
			h.endExpected, h.stoppedAt = false, time.Now()
		default:
			ended := end{at: time.Now(), reason: fmt.Sprint(err)}
			select {
			case <-overMemory:
				ended.reason, ended.overMemory = fmt.Sprintf("over %d MB of memory", h.memoryMB), true
			default:
			}
			h.ends = append(h.ends, ended)
		}
		h.mu.Unlock()
		time.Sleep(restartDelay)
	}
}

// watchMemory kills the process once it holds more memory than its machine has.
func (h *host) watchMemory(pid int, over, ended chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(100 * time.Millisecond):
		}
		kb := residentKB(pid)
		h.mu.Lock()
		h.peakKB = max(h.peakKB, kb)
		h.mu.Unlock()
		if kb > h.memoryMB<<10 {
			close(over)
			_ = syscall.Kill(pid, syscall.SIGKILL)
			<-ended
			return
		}
	}
}

// residentKB returns the anonymous resident memory of a process: what it holds itself,
// without the pages of the program's file.
func residentKB(pid int) int {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer file.Close()
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		if text, ok := strings.CutPrefix(scanner.Text(), "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
			return kb
		}
	}
	return 0
}

// expectEnd tells that the process is about to be told to end, which counts as no end by
// itself.
func (h *host) expectEnd() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endExpected = true
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command != nil && h.command.Process != nil {
		_ = h.command.Process.Signal(s)
	}
}

// stop ends the process for good.
func (h *host) stop() {
	h.mu.Lock()
	h.stopped = true
	if h.command != nil && h.command.Process != nil {
		_ = h.command.Process.Kill()
	}
	h.mu.Unlock()
	<-h.done
}

func (h *host) endings() (ends []end, peakKB int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]end(nil), h.ends...), h.peakKB
}
