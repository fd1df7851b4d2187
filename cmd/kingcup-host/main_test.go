package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"kingcupcourse/internal/process"
	"kingcupcourse/internal/settings"
)

const templateFile = "../../deploy/host.json.template"

// figures are the figures that the platform fills in, by their names in the template.
var figures = map[string]any{
	"Limits.CpuShare": number("0.4"), "Limits.Cores": number("1"), "Limits.MemoryMb": number("284"), "Limits.MaxFds": number("4100"),
	"Bounds.GraceS": number("8"), "Bounds.QuotaWindowS": number("8"), "Bounds.QuotaOverage": number("0.1"), "Bounds.QuotaSlack": number("140000"),
	"Bounds.RetryBudgetRatio": number("0.2"), "Bounds.BudgetSlack": number("54"), "Bounds.ExposeShare": number("0.1"), "Bounds.ExposeSlack": number("50"),
	"Bounds.ColdOverage": number("1.5"), "Bounds.ColdSlack": number("5"),
}

// machine is a machine on which the platform runs the host.
type machine struct {
	t              testing.TB
	settings       string // the path of the file
	addresses      map[string]any
	ip, port       string // of the peers' listener
	storeAddress   string
	readinessProbe string
}

func newMachine(t testing.TB) *machine {
	t.Helper()
	var addresses [3]string
	for i := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		addresses[i] = l.Addr().String()
	}
	store := httptest.NewServer(http.HandlerFunc(serveStore))
	t.Cleanup(func() { store.CloseClientConnections(); store.Close() })
	m := &machine{t: t, settings: filepath.Join(t.TempDir(), "settings.json"), storeAddress: strings.TrimPrefix(store.URL, "http://"),
		addresses:      map[string]any{"Front": addresses[0], "Readiness": addresses[1]},
		readinessProbe: "http://" + addresses[1] + "/kingcupcourse/readyz"}
	m.ip, m.port, _ = net.SplitHostPort(addresses[2])
	return m
}

// serveStore answers as a store that holds a configuration and nothing else.
func serveStore(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method != http.MethodGet:
		_, _ = io.Copy(w, r.Body)
	case r.URL.Query().Has("Watch"):
		select {
		case <-r.Context().Done():
		case <-time.After(time.Second):
		}
		_, _ = io.WriteString(w, `{"events":[],"AsOf":7}`)
	case strings.HasSuffix(r.URL.Path, "/config"):
		_, _ = io.WriteString(w, `{"Items":[{"Metadata":{"Name":"main","Revision":7,"Created":7},"Spec":{"Version":1,
			"Routes":[{"Name":"r","Host":"x.example","PathPrefix":"/","Kind":"idempotent","Service":"s","Public":true}],
			"Services":[{"Name":"s","MaxConns":10}],"Limits":{"MaxHeaderBytes":4096,"MaxBodyBytes":2000},"Tenants":[]}}],"AsOf":7}`)
	default:
		_, _ = io.WriteString(w, `{"Items":[],"AsOf":7}`)
	}
}

// fillIn writes the settings file with some figures changed; nil takes a figure away.
func (m *machine) fillIn(changes map[string]any) {
	m.t.Helper()
	template, err := os.ReadFile(templateFile)
	if err != nil {
		m.t.Fatal(err)
	}
	limits, bounds := map[string]any{}, map[string]any{}
	for name, value := range figures {
		if changed, ok := changes[name]; ok {
			value = changed
		}
		if group, field, _ := strings.Cut(name, "."); group == "Limits" {
			limits[field] = value
		} else {
			bounds[field] = value
		}
	}
	text := render(string(template), scope{map[string]any{
		"NodeName": "front-1", "Ip": m.ip, "Zone": "a", "Region": "r", "Zones": map[string]any{"a": "r", "b": "r"},
		"Listen": m.addresses, "InternalPorts": []any{number(m.port)}, "Platform": map[string]any{"Address": m.storeAddress},
		"Limits": limits, "Bounds": bounds,
	}})
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		m.t.Fatal(err)
	}
}

// run starts the host and returns a function that stops it and returns its exit code.
func (m *machine) run(out io.Writer) (stop func() int) {
	ctx, cancel := context.WithCancel(context.Background())
	code := make(chan int, 1)
	go func() { code <- process.RunProgram(ctx, program(), []string{"--settings", m.settings}, out, out) }()
	stop = sync.OnceValue(func() int { cancel(); return <-code })
	m.t.Cleanup(func() { stop() })
	return stop
}

// isReady reports whether the host becomes ready.
func (m *machine) isReady() bool {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		response, err := http.Get(m.readinessProbe)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// output collects what a host writes.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// Guards against hosts that do not start again once a figure of their settings has become
// a fraction: a template that multiplies by appending zeros, and fields for whole numbers.
func TestHostStartsAgainWithFractions(t *testing.T) {
	m, out := newMachine(t), &output{}
	m.fillIn(nil)
	stop := m.run(out)
	if !m.isReady() {
		t.Fatalf("not ready with whole numbers:\n%s", out)
	}
	m.fillIn(map[string]any{"Bounds.GraceS": number("7.5"), "Bounds.QuotaWindowS": number("7.5"), "Bounds.ExposeSlack": number("50.5"),
		"Limits.MemoryMb": number("284.5"), "Limits.MaxFds": number("4100.0")})
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if !m.isReady() {
		t.Errorf("not ready after SIGHUP:\n%s", out)
	}
	if code := stop(); code != process.ExitOK {
		t.Errorf("exit code %d after SIGTERM", code)
	}
	stop = m.run(out)
	if !m.isReady() {
		t.Fatalf("not ready after the restart, exit code %d:\n%s", stop(), out)
	}
}

// Guards against figures that the host refuses, or takes for another number, because of
// the way in which they are written.
func TestFiguresInAllNotations(t *testing.T) {
	m := newMachine(t)
	for notation, want := range map[string]float64{"8": 8, "8.0": 8, "8.0000": 8, "7.5": 7.5, "8e0": 8, "7.5E+00": 7.5, "75e-1": 7.5} {
		for name := range figures {
			if strings.HasSuffix(name, "Share") {
				continue // is at most 1
			}
			t.Run(fmt.Sprint(name, "=", notation), func(t *testing.T) {
				m.fillIn(map[string]any{name: number(notation)})
				s, err := settings.Load[settings.Gateway](m.settings)
				if err != nil {
					t.Fatal(err)
				}
				got := map[string]float64{
					"Limits.Cores": s.ProcessorSpeed, "Limits.MemoryMb": float64(s.MemoryMB.Bytes()) / (1 << 20), "Limits.MaxFds": float64(s.MaxFiles),
					"Bounds.GraceS": s.Grace().Seconds(), "Bounds.QuotaWindowS": s.LimitWindow().Seconds(), "Bounds.QuotaOverage": s.LimitOverage,
					"Bounds.QuotaSlack": s.LimitSlack, "Bounds.RetryBudgetRatio": s.RepeatShare, "Bounds.BudgetSlack": s.RepeatBurst,
					"Bounds.ExposeSlack": float64(s.ExposeFree), "Bounds.ColdOverage": s.ColdOverage, "Bounds.ColdSlack": s.ColdSlack,
				}[name]
				if got != want {
					t.Errorf("got %v, want %v", got, want)
				}
			})
		}
	}
}
