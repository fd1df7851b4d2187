package control

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"kingcupcourse/internal/message"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/settings"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakePlatform serves watches from memory and injects faults.
type fakePlatform struct {
	url string

	mu            sync.Mutex
	version       uint64
	objects       map[string]platform.Object
	outage        bool
	silentWatches int // number of long watches that will get no response
}

func newFakePlatform(t *testing.T) *fakePlatform {
	t.Helper()
	f := &fakePlatform{objects: map[string]platform.Object{}}
	server := httptest.NewServer(f)
	f.url = server.URL
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return f
}

// set writes an object with a version, which may be lower than before.
func (f *fakePlatform) set(key string, version uint64, value any) {
	text, _ := json.Marshal(value)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version = max(f.version, version)
	f.objects[key] = platform.Object{Key: key, Version: version, Value: text}
}

// inject changes the faults under the lock.
func (f *fakePlatform) inject(change func(*fakePlatform)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("timeout_ms"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		changes, outage, silent := f.poll(query.Get("prefix"), after, wait > 0)
		switch {
		case outage:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case silent:
			<-r.Context().Done()
			return
		case len(changes.Objects) > 0 || !time.Now().Before(deadline) || r.Context().Err() != nil:
			_ = json.NewEncoder(w).Encode(changes)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (f *fakePlatform) poll(prefix string, after uint64, long bool) (changes platform.Changes, outage, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if long && f.silentWatches > 0 {
		f.silentWatches--
		return changes, false, true
	}
	changes.Revision = f.version
	for _, o := range f.objects {
		if strings.HasPrefix(o.Key, prefix) && o.Version > after {
			changes.Objects = append(changes.Objects, o)
		}
	}
	return changes, f.outage, false
}

// process is a Control that a test runs with its own listener.
type process struct {
	*Control
	views Subscription
	stop  func()
}

// newListeners opens listeners on free ports of the loopback interface.
func newListeners(t *testing.T, count int) (listeners []net.Listener, addresses []string) {
	t.Helper()
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
	}
	return listeners, addresses
}

func listenAt(t *testing.T, address string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func startProcess(t *testing.T, listener net.Listener, name, platformURL string, peers ...string) *process {
	t.Helper()
	p := &process{Control: New(Options{
		Settings: settings.Common{Host: name, Region: "r", AvailabilityZone: "a",
			Control: listener.Addr().String(), Peers: peers},
		Role:     message.RoleScheduler,
		Log:      zap.NewNop(),
		Platform: platform.New(platformURL),
	})}
	p.views = p.Subscribe()
	mux := http.NewServeMux()
	p.RegisterHandlers(mux)
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: mux}}
	server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	ended := ring.NewReply[error]()
	go func() { ended.Send(p.Supervisor().Serve(ctx)) }()
	p.stop = sync.OnceFunc(func() {
		cancel()
		_, _ = ended.Wait(context.Background())
		server.CloseClientConnections()
		server.Close()
	})
	t.Cleanup(p.stop)
	return p
}

// awaitView waits for a view that satisfies want.
func (p *process) awaitView(t *testing.T, timeout time.Duration, what string, want func(*View) bool) *View {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	var last *View
	for {
		view, err := p.views.Take(ctx)
		if err != nil {
			t.Fatalf("%s: no %s within %v; last view %+v", p.self.Host, what, timeout, last)
		}
		if last = view; want(view) {
			return view
		}
	}
}

func awaitReady(t *testing.T, p *process) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !p.Ready(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s is not ready", p.self.Host)
		}
	}
}

// testManifest returns a manifest that tests recognize by its deployment name.
func testManifest(deployment string) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"deployment": %q,
		"regions": [{"name": "r", "availability_zones": ["a"]}],
		"client_accounts": [{"name": "c", "key_sha256": [%q]}],
		"pools": [{"name": "p", "kind": "service", "endpoints": [
			{"name": "e1", "address": "127.0.0.1:9", "availability_zone": "a", "version": "v1", "slots": 1}]}],
		"routes": [{"name": "all", "pool": "p", "path": "/"}]}`, deployment, strings.Repeat("a", 64)))
}

func hasManifestVersion(version uint64) func(*View) bool {
	return func(v *View) bool { return v.ManifestVersion == version }
}
