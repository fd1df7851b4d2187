package process

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/settings"
	"kingcupcourse/internal/supervisor"
)

// failingDuty fails at once.
type failingDuty struct{}

func (failingDuty) Serve(context.Context) error { return errors.New("planted") }

// waitingDuty waits until it is stopped and records that.
type waitingDuty struct{ stopped *ring.Ring[string] }

func (d waitingDuty) Serve(ctx context.Context) error {
	<-ctx.Done()
	_ = d.stopped.TryPut("ended")
	return ctx.Err()
}

func testRole(duty supervisor.Duty) Role[settings.Rollout] {
	return Role[settings.Rollout]{
		Program: "kingcup-test",
		Role:    message.RoleRollout,
		Load:    settings.Load[settings.Rollout],
		Common:  func(s *settings.Rollout) *settings.Common { return &s.Common },
		Build: func(*Environment, *settings.Rollout) (Duties, error) {
			return Duties{AfterListener: []supervisor.Child{{Name: "duty", Duty: duty}}}, nil
		},
	}
}

func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// writeSettings writes a settings file and returns its path and admin address.
func writeSettings(t *testing.T, platform string) (path, admin string) {
	t.Helper()
	admin = unusedAddress(t)
	text, _ := json.Marshal(map[string]any{
		"host": "h", "region": "r", "availability_zone": "a", "control": unusedAddress(t), "admin": admin,
		"platform": platform, "drain_delay_ms": 300, "fault_injection": true,
	})
	path = filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path, admin
}

func httpGet(address, path string) (int, string) {
	response, err := http.Get("http://" + address + path)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

func awaitStatus(t *testing.T, address, path string, want int) {
	t.Helper()
	got := 0
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if got, _ = httpGet(address, path); got == want {
			return
		}
	}
	t.Fatalf("%s: status %d, want %d", path, got, want)
}

// newManifestServer starts a fake platform with one manifest and returns its
// URL.
func newManifestServer(t *testing.T) string {
	t.Helper()
	manifest := fmt.Sprintf(`{"deployment":"d","regions":[{"name":"r","availability_zones":["a"]}],
		"client_accounts":[{"name":"c","key_sha256":[%q]}],
		"pools":[{"name":"p","kind":"service","endpoints":[{"name":"e","address":"127.0.0.1:9",
			"availability_zone":"a","version":"v1","slots":1}]}],
		"routes":[{"name":"all","pool":"p","path":"/"}]}`, strings.Repeat("a", 64))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("prefix") == "manifest" && r.URL.Query().Get("after") == "0" {
			fmt.Fprintf(w, `{"revision":1,"objects":[{"key":"manifest","version":1,"value":%s}]}`, manifest)
			return
		}
		fmt.Fprint(w, `{"revision":1,"objects":[]}`)
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func TestDrainStopsDutiesInOrder(t *testing.T) {
	path, admin := writeSettings(t, newManifestServer(t))
	stopped := ring.New[string]("test", 1)
	ctx, cancel := context.WithCancel(t.Context())
	exitCode := ring.NewReply[int]()
	go func() {
		exitCode.Send(RunContext(ctx, testRole(waitingDuty{stopped}), []string{"--settings", path}, io.Discard, io.Discard))
	}()
	awaitStatus(t, admin, "/healthz", http.StatusOK)
	awaitStatus(t, admin, "/readyz", http.StatusOK)
	if _, body := httpGet(admin, "/metrics"); !strings.Contains(body, "kingcup_ring_depth") ||
		!strings.Contains(body, "kingcup_manifest_version 1") {
		t.Errorf("metrics lack the rings or the manifest version:\n%s", body)
	}
	if _, body := httpGet(admin, "/debug/children"); !strings.Contains(body, "control/members") {
		t.Errorf("children: %s", body)
	}
	response, err := http.Post("http://"+admin+"/debug/kill?child=control/members", "", nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("kill: %v", err)
	}
	cancel()
	awaitStatus(t, admin, "/readyz", http.StatusServiceUnavailable)
	if code, _ := exitCode.Wait(t.Context()); code != ExitOK {
		t.Errorf("exit code %d", code)
	}
	if _, ok := stopped.TryTake(); !ok {
		t.Error("the role's duty was not stopped")
	}
}

func TestRestartStormExits(t *testing.T) {
	path, _ := writeSettings(t, "http://127.0.0.1:1")
	var log lockedBuffer
	code := RunContext(t.Context(), testRole(failingDuty{}), []string{"--settings", path}, io.Discard, &log)
	if code != ExitRestartStorm || !strings.Contains(log.String(), "giving up") {
		t.Fatalf("exit code %d, log:\n%s", code, log.String())
	}
}

func TestCommandLine(t *testing.T) {
	valid, _ := writeSettings(t, "http://127.0.0.1:1")
	invalid := filepath.Join(t.TempDir(), "bad.json")
	if err := os.WriteFile(invalid, []byte(`{"host": "", "bogus": 1}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		code int
		want []string
	}{
		{[]string{"--settings", valid, "--check-settings"}, ExitOK, []string{"no findings"}},
		{[]string{"--settings", invalid}, ExitFindings, []string{"bad.json:1:10: host", "bogus: unknown field", "control: missing"}},
		{[]string{"--settings", invalid, "--check-settings"}, ExitFindings, []string{"bogus: unknown field"}},
		{[]string{"--settings", invalid + ".none"}, ExitFailed, []string{"no such file"}},
		{[]string{"--version"}, ExitOK, []string{"kingcup-test"}},
		{[]string{"--help"}, ExitOK, []string{"--check-settings"}},
		{nil, ExitFindings, []string{"--settings"}},
	} {
		var out bytes.Buffer
		code := RunContext(t.Context(), testRole(failingDuty{}), c.args, &out, &out)
		if code != c.code {
			t.Errorf("%v: exit code %d, want %d", c.args, code, c.code)
		}
		for _, want := range c.want {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%v: no %q in\n%s", c.args, want, out.String())
			}
		}
	}
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.String()
}
