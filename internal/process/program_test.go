package process

import (
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"kingcupcourse/internal/settings"
	"kingcupcourse/internal/supervisor"
)

// output collects the output of a program.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) contains(text string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Contains(o.text.String(), text)
}

func (o *output) awaitText(t *testing.T, text string) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !o.contains(text); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("no %q in the output", text)
		}
	}
}

const gatewaySettings = `{"host":"h","region":"r","availability_zone":"a","callers":"127.0.0.1:1","readiness":"127.0.0.1:2",
"peers":"127.0.0.1:3","store":"http://127.0.0.1:4","limit_overage":0.1,"limit_slack":0,"limit_window_ms":8000,
"repeat_share":0.2,"repeat_burst":54,"expose_share":0.1,"expose_free":50,"grace_ms":8000}`

func testProgram() Program[settings.Gateway] {
	return Program[settings.Gateway]{
		Name: "kingcup-host", Load: settings.Load[settings.Gateway],
		Log:      func(s *settings.Gateway) LogConfig { return LogConfig{Host: s.Host, Log: s.Log} },
		Shutdown: func(*settings.Gateway) ShutdownConfig { return ShutdownConfig{} },
		Build: func(ProgramEnvironment, *settings.Gateway) ([]supervisor.Child, error) {
			return nil, nil
		},
	}
}

// startProgram runs the test program until the test ends. It returns the path
// of its settings file and a function that stops it and returns its exit code.
func startProgram(t *testing.T, out io.Writer) (path string, stop func() int) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(gatewaySettings), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	code := make(chan int, 1)
	go func() { code <- RunProgram(ctx, testProgram(), []string{"--settings", path}, out, out) }()
	stop = sync.OnceValue(func() int { cancel(); return <-code })
	t.Cleanup(func() { stop() })
	return path, stop
}

// A program survives many SIGHUPs in a row, and keeps its settings if the file
// has become invalid.
func TestSettingsReloadOnSIGHUP(t *testing.T) {
	out := &output{}
	path, stop := startProgram(t, out)
	out.awaitText(t, `"starting"`)
	for range 20 {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Millisecond)
	}
	out.awaitText(t, `"settings reloaded"`)
	if err := os.WriteFile(path, []byte(`{"host":7}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	out.awaitText(t, "settings reload failed, keeping the previous settings")
	if code := stop(); code != ExitOK {
		t.Errorf("exit code %d", code)
	}
}

// blockedOutput blocks every write until unblock is closed. The first one closes
// blocked.
type blockedOutput struct {
	once             sync.Once
	blocked, unblock chan struct{}
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	b.once.Do(func() { close(b.blocked) })
	<-b.unblock
	return len(p), nil
}

// If nobody reads the log, no duty is blocked by it: lines are dropped and
// counted.
func TestBlockedLogOutputDropsLines(t *testing.T) {
	out := &blockedOutput{blocked: make(chan struct{}), unblock: make(chan struct{})}
	w := newLogWriter(out)
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() { defer close(stopped); _ = w.Serve(ctx) }()
	_, _ = w.Write([]byte("line\n"))
	<-out.blocked // a line that is written begins the count of dropped lines anew
	start := time.Now()
	for range 3 * logCapacity {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("the writers were blocked for %v", took)
	}
	if dropped := w.dropped.Load(); dropped != 2*logCapacity {
		t.Errorf("%d lines dropped, want %d", dropped, 2*logCapacity)
	}
	close(out.unblock)
	cancel()
	<-stopped
}
