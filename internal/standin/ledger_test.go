package standin

import (
	"testing"
	"time"

	"kingcupcourse/internal/standin/ledger"
)

func startLedger(t *testing.T, serviceTimeMS int64) *testFleet {
	t.Helper()
	return startFleet(t, Fleet{Ledgers: []ledger.Config{{Name: "ledger", Address: "127.0.0.1:0",
		ServiceTimeMS: serviceTimeMS, Concurrency: 1, RestartMS: 20}}})
}

func (f *testFleet) expectBody(path, want string) {
	f.t.Helper()
	if got := f.call(200, "GET", "ledger", path, "").body; got != want+"\n" {
		f.t.Fatalf("%s: got %s, want %s", path, got, want)
	}
}

func TestLedgerDoesNotDeduplicateRequests(t *testing.T) {
	f := startLedger(t, 0)
	for _, want := range []string{`{"request_id":"r","runs":1}`, `{"request_id":"r","runs":2}`} {
		got := f.call(201, "POST", "ledger", "/v1/transfers", `{"from":"a","to":"b","amount":2}`, "X-Request-Id: r")
		if got.body != want+"\n" || got.header.Get("X-Engine-Version") != "v1" {
			t.Fatalf("got %+v", got)
		}
	}
	f.expectBody("/v1/balances/a", `{"account":"a","balance":-4}`)
	f.expectBody("/v1/balances/b", `{"account":"b","balance":4}`)
	f.expectBody("/v1/entries/r", `{"request_id":"r","runs":2,"body":{"from":"a","to":"b","amount":2}}`)
	f.call(404, "GET", "ledger", "/v1/entries/none", "")
	f.expectBody("/any/path", `{"method":"GET","path":"/any/path","bytes":0}`)
	if s := stats[ledger.Stats](f, "ledger"); s.Runs["r"] != 2 {
		t.Fatalf("stats %+v", s)
	}
}

func TestLedgerConcurrencyLimit(t *testing.T) {
	f := startLedger(t, 40)
	started := time.Now()
	first := f.background("GET", "ledger", "/a", "")
	f.call(200, "GET", "ledger", "/b", "")
	if _, err := first.Wait(t.Context()); err != nil {
		t.Fatal(err)
	}
	if elapsed := time.Since(started); elapsed < 80*time.Millisecond {
		t.Fatalf("two requests took %v", elapsed)
	}
}

func TestLedgerWrongResponsesAndCrashFaults(t *testing.T) {
	f := startLedger(t, 0)
	f.setFault("ledger", `{"wrong_rate":1}`)
	f.expectBody("/v1/balances/a", `{"account":"a","balance":1000}`)
	f.setFault("ledger", `{"wrong_rate":0,"crash_on":"poison"}`)
	if got, err := f.try("POST", "ledger", "/v1/entries", `poison`); err == nil {
		t.Fatalf("answered %+v", got)
	}
	eventually(t, "the ledger restarts", func() bool {
		got, err := f.try("GET", "ledger", "/healthz", "")
		return err == nil && got.status == 200
	})
	f.call(200, "POST", "ledger", "/v1/orders", `{"order":"leave","fence":1}`)
	if got := f.call(503, "GET", "ledger", "/a", ""); got.header.Get("X-Endpoint-State") != "leaving" {
		t.Fatalf("headers %v", got.header)
	}
	if s := stats[ledger.Stats](f, "ledger"); s.Crashes != 1 || s.Lost != 1 {
		t.Fatalf("stats %+v", s)
	}
}
