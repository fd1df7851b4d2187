package crowd

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"os/exec"
	"path/filepath"
	"testing"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/standin"
	"kingcupcourse/internal/standin/ledger"
	"kingcupcourse/internal/standin/platform"
)

// startEntry runs a kingcup-entry with one endpoint and without a scheduler, so that it
// places its requests by itself.
func startEntry(t *testing.T) *target {
	t.Helper()
	addresses := freeAddresses(t, 6)
	platformURL := "http://" + addresses[1]
	startStandIns(t, standin.Fleet{AdminAddress: addresses[0],
		Platform: &platform.Config{Name: "platform", Address: addresses[1]},
		Ledgers:  []ledger.Config{{Name: "ledger-0", Address: addresses[2], Version: "v1", ServiceTimeMS: 5, Concurrency: 8, Seed: 1}}})
	commitManifest(t, platformURL, addresses[2])
	p := startProgram(t, "kingcup-entry", map[string]any{
		"host": "host-1", "region": "r", "availability_zone": "a", "platform": platformURL,
		"control": addresses[3], "admin": addresses[4], "callers": addresses[5],
		"memory_mb": machineMemoryKB >> 10, "max_files": machineFiles,
	})
	target := &target{program: p, address: addresses[5], ordinary: func(address string) bool {
		status, _, err := call(address, "GET", "/v1/balances/1", "", nil)
		return err == nil && status == http.StatusOK
	}}
	target.checkOrdinaryCaller()
	return target
}

// startStandIns runs the stand-ins until the test ends.
func startStandIns(t *testing.T, fleet standin.Fleet) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "fleet.json")
	writeJSON(t, path, fleet)
	standIns := exec.Command(filepath.Join(binaryFolder, "kingcup-standin"), "fleet", "--file", path)
	if err := standIns.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = standIns.Process.Kill(); _ = standIns.Wait() })
}

// commitManifest commits a manifest with one endpoint and a route of each method.
func commitManifest(t *testing.T, platformURL, endpoint string) {
	t.Helper()
	hash := sha256.Sum256([]byte("key"))
	path := filepath.Join(t.TempDir(), "manifest.json")
	writeJSON(t, path, manifest.Manifest{
		Deployment:     "crowd",
		Regions:        []manifest.Region{{Name: "r", AvailabilityZones: []core.AvailabilityZone{"a"}}},
		ClientAccounts: []manifest.ClientAccount{{Name: "uni", KeySHA256: []string{hex.EncodeToString(hash[:])}}},
		Pools: []manifest.Pool{{Name: "ledger", Kind: core.KindService, Endpoints: []manifest.Endpoint{
			{Name: "ledger-0", Address: endpoint, AvailabilityZone: "a", Version: "v1", Slots: 8}}}},
		Routes: []manifest.Route{
			{Name: "file", Pool: "ledger", Methods: []string{http.MethodPost}, Path: "/v1/entries", Tier: 1, MaxBodyBytes: maxBodyBytes},
			{Name: "balance", Pool: "ledger", Methods: []string{http.MethodGet}, Path: "/v1/balances/", Tier: 1},
		},
	})
	var out []byte
	var err error
	for range ordinaryTries {
		commit := exec.Command(filepath.Join(binaryFolder, "kingcupctl"), "commit", "--platform", platformURL, path)
		if out, err = commit.CombinedOutput(); err == nil {
			return
		}
	}
	t.Fatalf("commit: %v\n%s", err, out)
}

// Like TestShortHeaderLines, at an entry.
func TestEntryShortHeaderLines(t *testing.T) {
	checkCrowd(startEntry(t), headCrowd, sendShortHeaderLines("/v1/entries"))
}

// Like TestEndlessHeads, at an entry.
func TestEntryEndlessHeads(t *testing.T) { checkCrowd(startEntry(t), connectionCrowd, sendEndlessHead) }

// Like TestEmptyLinesBeforeRequest, at an entry.
func TestEntryEmptyLinesBeforeRequest(t *testing.T) {
	checkCrowd(startEntry(t), connectionCrowd, sendEmptyLines)
}

// Like TestLargeBodies, at an entry.
func TestEntryLargeBodies(t *testing.T) {
	checkCrowd(startEntry(t), bodyCrowd, sendLargeBody("/v1/entries"))
}
