package crowd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The machine on which each program runs. Its figures are the bounds of all tests.
const (
	machineMemoryKB = 96 << 10
	machineFiles    = 800
)

// binaryFolder is the folder into which TestMain builds the programs.
var binaryFolder string

func TestMain(m *testing.M) {
	if text := os.Getenv(endpointVariable); text != "" {
		runEndpoint(text)
		return
	}
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs without the race detector, which would multiply
// their memory.
func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "kingcup-crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binaryFolder = folder
	build := exec.Command("go", "build", "-o", folder, "./cmd/...")
	build.Dir = "../.."
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}

// program is a running program under test.
type program struct {
	t        testing.TB
	name     string // of the binary
	cmd      *exec.Cmd
	log      string // its path, as is settings
	settings string
	ended    chan struct{}
	watched  sync.WaitGroup
	stop     chan struct{}
	// maxFiles is the largest number of open descriptors that was seen.
	maxFiles int
}

// startProgram runs a program with a settings file and watches its descriptors.
func startProgram(t testing.TB, name string, settings any) *program {
	t.Helper()
	folder := t.TempDir()
	path := filepath.Join(folder, "settings.json")
	writeJSON(t, path, settings)
	p := &program{t: t, name: name, log: filepath.Join(folder, "log"), settings: path, stop: make(chan struct{})}
	p.start()
	// Only the first run is watched.
	pid, ended := p.cmd.Process.Pid, p.ended
	p.watched.Go(func() { p.watchFiles(pid, ended) })
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			text, _ := os.ReadFile(p.log)
			t.Logf("end of the log:\n%s", text[max(0, len(text)-1500):])
		}
	})
	return p
}

// start runs the program, again after it was killed. Its log goes on.
func (p *program) start() {
	p.t.Helper()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(filepath.Join(binaryFolder, p.name), "--settings", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	ended, cmd := make(chan struct{}), p.cmd
	p.ended = ended
	go func() { _ = cmd.Wait(); close(ended) }()
}

// kill ends the program without a chance to stop in order.
func (p *program) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.ended
}
func (p *program) watchFiles(pid int, ended chan struct{}) {
	for {
		entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		p.maxFiles = max(p.maxFiles, len(entries))
		select {
		case <-p.stop:
			return
		case <-ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// peakMemoryKB returns the largest resident memory of the process so far.
func (p *program) peakMemoryKB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kilobytes
		}
	}
	return 0
}

// checkBounds ends the watch and checks that the program lives and has stayed within
// its machine.
func (p *program) checkBounds() {
	p.t.Helper()
	memory := p.peakMemoryKB()
	close(p.stop)
	p.watched.Wait()
	select {
	case <-p.ended:
		p.t.Fatalf("the program ended: %v", p.cmd.ProcessState)
	default:
	}
	p.t.Logf("resident memory at most %d MB, open descriptors at most %d", memory>>10, p.maxFiles)
	if memory == 0 || memory > machineMemoryKB {
		p.t.Errorf("resident memory reached %d kB, want at most %d", memory, machineMemoryKB)
	}
	if p.maxFiles == 0 || p.maxFiles > machineFiles {
		p.t.Errorf("%d descriptors were open, want at most %d", p.maxFiles, machineFiles)
	}
	if text, _ := os.ReadFile(p.log); bytes.Contains(text, []byte("child panicked")) {
		p.t.Error("a duty panicked")
	}
}

func writeJSON(t testing.TB, path string, value any) {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

const (
	// firstPort is the first of the ports that the tests use. They lie below the
	// kernel's ephemeral ports, so that no outgoing connection takes one of them before
	// its program listens.
	firstPort = 12000
	// Each run of the tests begins in its own slot of the range.
	portSlots, portsPerSlot = 40, 200
)

// lastPort is the last port tried, zero before the first.
var lastPort int

// freeAddresses returns loopback addresses on which nothing listens.
func freeAddresses(t testing.TB, count int) []string {
	t.Helper()
	if lastPort == 0 {
		lastPort = firstPort + os.Getpid()%portSlots*portsPerSlot
	}
	var addresses []string
	for len(addresses) < count {
		lastPort++
		address := fmt.Sprintf("127.0.0.1:%d", lastPort)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		addresses = append(addresses, address)
	}
	return addresses
}
