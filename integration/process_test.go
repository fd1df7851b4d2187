package integration

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// binaryFolder is the folder into which TestMain builds the programs.
var binaryFolder string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the programs with buildFlags and runs the tests.
func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "kingcup")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binaryFolder = folder
	nextPort.Store(int32(os.Getpid() % portSlots * portsPerSlot))
	arguments := append([]string{"build", "-o", folder}, buildFlags...)
	build := exec.Command("go", append(arguments, "./cmd/...")...)
	build.Dir = ".."
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}

// nextPort is the offset from firstPort of the last port tried. The range lies
// below the kernel's ephemeral ports.
var nextPort atomic.Int32

const (
	firstPort = 24000
	// Each run of the tests begins in its own slot of the range. Otherwise, of
	// two runs on one machine, one could take the port of the other's process
	// while that process is down.
	portSlots, portsPerSlot = 40, 200
)

// unusedAddress returns a loopback address on which no process listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address
	}
}

// process is one program under test, whose output goes to a log file.
type process struct {
	t       *testing.T
	name    string
	command []string
	logPath string
	cmd     *exec.Cmd
	exited  chan error
}

func newProcess(t *testing.T, folder, name, program string, arguments ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, logPath: filepath.Join(folder, name+".log"),
		command: append([]string{filepath.Join(binaryFolder, program)}, arguments...)}
	t.Cleanup(p.cleanUp)
	return p
}

// start starts the program. It may be called again after the program has ended.
func (p *process) start() {
	p.t.Helper()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(p.command[0], p.command[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	ended := make(chan error, 1)
	p.exited = ended
	go func(cmd *exec.Cmd) { ended <- cmd.Wait() }(p.cmd)
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Logf("%s: signal %v: %v", p.name, s, err)
	}
}

// kill ends the program immediately, as a failure of its host would.
func (p *process) kill() {
	p.t.Helper()
	p.signal(syscall.SIGKILL)
	_ = p.waitExit(10 * time.Second)
}

// pause stops the program with SIGSTOP until resume is called.
func (p *process) pause() { p.t.Helper(); p.signal(syscall.SIGSTOP) }

// resume continues a paused program.
func (p *process) resume() { p.t.Helper(); p.signal(syscall.SIGCONT) }

// errStillRunning is returned by waitExit if the program has not ended in time.
var errStillRunning = errors.New("still running")

// waitExit waits until the program has ended and returns its exit error.
func (p *process) waitExit(limit time.Duration) error {
	select {
	case err := <-p.exited:
		p.exited <- err
		return err
	case <-time.After(limit):
		return errStillRunning
	}
}

// drain sends SIGTERM to the program and fails the test if it does not end with
// exit code 0 in time.
func (p *process) drain(limit time.Duration) {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	if err := p.waitExit(limit); err != nil {
		p.t.Errorf("%s: drain: %v", p.name, err)
	}
}

func (p *process) cleanUp() {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		_ = p.waitExit(10 * time.Second)
	}
	text, _ := os.ReadFile(p.logPath)
	if at := bytes.Index(text, []byte("DATA RACE")); at >= 0 {
		p.t.Errorf("%s: %s", p.name, text[at:min(len(text), at+4000)])
	}
	if bytes.Contains(text, []byte("child panicked")) {
		p.t.Errorf("%s: a duty panicked:\n%s", p.name, grep(text, "child panicked"))
	}
	if p.t.Failed() {
		p.t.Logf("end of the log of %s:\n%s", p.name, text[max(0, len(text)-1500):])
	}
}

// grep returns lines of the text that contain the word, up to about 3000 bytes.
func grep(text []byte, word string) []byte {
	var found []byte
	for line := range bytes.Lines(text) {
		if bytes.Contains(line, []byte(word)) && len(found) < 3000 {
			found = append(found, line...)
		}
	}
	return found
}
