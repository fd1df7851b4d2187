package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"go.uber.org/zap"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/standin"
	"kingcupcourse/internal/standin/engine"
	"kingcupcourse/internal/standin/ledger"
)

// standins is a running set of stand-in endpoints.
type standins struct {
	t       *testing.T
	process *standin.Process
}

func startStandins(t *testing.T, engines, ledgers int) *standins {
	t.Helper()
	config := standin.Fleet{AdminAddress: "127.0.0.1:0"}
	for i := range engines {
		config.Engines = append(config.Engines, engine.Config{
			Name: fmt.Sprintf("engine-%d", i), Address: "127.0.0.1:0", RestartMS: 60_000})
	}
	for i := range ledgers {
		config.Ledgers = append(config.Ledgers, ledger.Config{
			Name: fmt.Sprintf("ledger-%d", i), Address: "127.0.0.1:0", ServiceTimeMS: 5, RestartMS: 60_000})
	}
	process, err := standin.New(config, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := ring.NewReply[error]()
	go func() { stopped.Send(process.Supervisor().Serve(ctx)) }()
	t.Cleanup(func() {
		cancel()
		_, _ = stopped.Wait(context.Background())
	})
	return &standins{t: t, process: process}
}

func (s *standins) backend(pool, name string) backend {
	return backend{pool, name, s.process.Address(name)}
}

func (s *standins) injectFault(name, fault string) {
	s.t.Helper()
	response, err := http.Post("http://"+s.process.AdminAddress()+"/"+name+"/admin/fault", "application/json", strings.NewReader(fault))
	if err != nil {
		s.t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		s.t.Fatalf("fault %s: %d", fault, response.StatusCode)
	}
}

func (s *standins) order(name, order string) {
	s.t.Helper()
	response, err := http.Post("http://"+s.process.Address(name)+"/v1/orders", "application/json", strings.NewReader(order))
	if err != nil {
		s.t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		s.t.Fatalf("order %s: %d", order, response.StatusCode)
	}
}

func (s *standins) engineStats(name string) (stats engine.Stats) {
	s.t.Helper()
	response, err := http.Get("http://" + s.process.AdminAddress() + "/" + name + "/admin/stats")
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&stats); err != nil {
		s.t.Fatal(err)
	}
	return stats
}

func TestStreamIsDeliveredCompletely(t *testing.T) {
	s := startStandins(t, 1, 0)
	f := newFixture(t, s.backend("models", "engine-0"))
	got := f.mustDo("POST", "/v1/completions", `{"model":"chat","prompt":"hello","max_tokens":20,"stream":true}`)
	expectCompleteStream(t, got, 20)
	eventually(t, "the outcome is reported", func() bool { return len(f.scheduler.results()) == 1 })
	if result := f.scheduler.results()[0]; result != "ok" {
		t.Fatalf("result %s", result)
	}
}

// expectCompleteStream checks that events 1 to n came once each and in order,
// followed by the end of the stream.
func expectCompleteStream(t *testing.T, got callResult, n int) {
	t.Helper()
	if got.status != http.StatusOK {
		t.Fatalf("status %d: %s", got.status, got.body)
	}
	last := 0
	for line := range strings.Lines(got.body) {
		var id int
		if _, err := fmt.Sscanf(line, "id: %d", &id); err != nil {
			continue
		}
		if id != last+1 {
			t.Fatalf("event %d after %d", id, last)
		}
		last = id
	}
	if last != n || !strings.HasSuffix(got.body, "data: [DONE]\n\n") {
		t.Fatalf("%d events, want %d; ends with %q", last, n, got.body[max(0, len(got.body)-60):])
	}
}
