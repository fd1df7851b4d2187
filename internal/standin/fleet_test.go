package standin

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/zap"

	"kingcupcourse/internal/standin/engine"
	"kingcupcourse/internal/standin/faultproxy"
	"kingcupcourse/internal/standin/ledger"
)

func TestDuplicateNamesAreRejected(t *testing.T) {
	duplicates := []faultproxy.Config{{Name: "p", Address: "127.0.0.1:0"}, {Name: "p", Address: "127.0.0.1:0"}}
	if _, err := New(Fleet{Proxies: duplicates}, zap.NewNop()); err == nil {
		t.Fatal("New accepted two stand-ins with the same name")
	}
}

func writeFile(t *testing.T, name, content string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestReadFleetRejectsUnknownFieldsAndTrailingData(t *testing.T) {
	for content, wantErr := range map[string]string{
		`{"engines":[{"name":"e","slots":2}]}`: "",
		`{"engines":[{"name":"e","slot":2}]}`:  "unknown field",
		`{} {}`:                                "more than one",
	} {
		_, err := ReadFleet(writeFile(t, "fleet.json", content))
		if (err == nil) != (wantErr == "") || err != nil && !strings.Contains(err.Error(), wantErr) {
			t.Errorf("%s: got %v", content, err)
		}
	}
}

func TestObjectFilesAreRelativeToFleetFile(t *testing.T) {
	file := writeFile(t, "fleet.json", `{"platform":{"name":"platform","address":"127.0.0.1:0","objects":[{"key":"hosts","file":"hosts.json"}]}}`)
	if err := os.WriteFile(filepath.Join(filepath.Dir(file), "hosts.json"), []byte(`{"hosts":[]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	fleet, err := ReadFleet(file)
	if err != nil {
		t.Fatal(err)
	}
	f := startFleet(t, fleet)
	f.call(200, "GET", "platform", "/v1/objects/hosts", "")
}

func TestDeployedFleetsAreValid(t *testing.T) {
	files, err := filepath.Glob("../../deploy/*/fleet.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("files %v, %v", files, err)
	}
	for _, file := range files {
		if _, err := ReadFleet(file); err != nil {
			t.Error(err)
		}
	}
}

func TestFaultControlRejectsUnknownFaultsAndNames(t *testing.T) {
	f := startEngine(t, nil)
	for path, want := range map[string]int{"/engine/admin/fault": 400, "/none/admin/fault": 404} {
		got, err := f.tryAt("POST", f.process.AdminAddress(), path, `{"no_such_fault":1}`)
		if err != nil || got.status != want {
			t.Errorf("%s: got %+v, %v", path, got, err)
		}
	}
}

// TestKilledDutiesRestartWithTheirState kills duties of an engine and a ledger.
// The stand-ins must serve again with the state they had before.
func TestKilledDutiesRestartWithTheirState(t *testing.T) {
	f := startFleet(t, Fleet{
		Engines: []engine.Config{{Name: "engine", Address: "127.0.0.1:0", DecodeTokensPerSecond: 1000}},
		Ledgers: []ledger.Config{{Name: "ledger", Address: "127.0.0.1:0"}},
	})
	f.complete(200, "p", 1, "X-Request-Id: r")
	f.call(201, "POST", "ledger", "/v1/entries", "{}", "X-Request-Id: r")
	f.client.CloseIdleConnections()
	for _, duty := range []string{"engine/batch", "engine/front/faults", "engine/front/accept",
		"ledger/books", "ledger/front/faults", "ledger/front/accept"} {
		if err := f.process.Supervisor().Kill(duty); err != nil {
			t.Fatal(err)
		}
		eventually(t, duty+" serves again", func() bool {
			run, err := f.try("GET", "engine", "/v1/runs/r/stream", "")
			entry, entryErr := f.try("GET", "ledger", "/v1/entries/r", "")
			return err == nil && entryErr == nil && run.status == 200 && entry.status == 200
		})
		f.client.CloseIdleConnections()
	}
}
