package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/decision/canary"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/ring"
	standin "kingcupcourse/internal/standin/platform"
)

// fixture is a stand-in platform with a client for it.
type fixture struct {
	*standin.Platform
	url    string
	client *platform.Client
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	p, err := standin.New(standin.Config{Name: "platform", Address: "127.0.0.1:0"}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	stopped := ring.NewReply[error]()
	go func() { stopped.Send(p.Supervisor().Serve(ctx)) }()
	t.Cleanup(func() {
		stop()
		_, _ = stopped.Wait(context.Background())
	})
	url := "http://" + p.Address()
	return &fixture{Platform: p, url: url, client: platform.New(url)}
}

func (f *fixture) injectFault(t *testing.T, fault string) {
	t.Helper()
	if err := f.SetFault(t.Context(), []byte(fault)); err != nil {
		t.Fatal(err)
	}
}

// run runs a kingcupctl command and returns its exit code and output.
func (f *fixture) run(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errOut bytes.Buffer
	code = Run(t.Context(), append([]string{"--platform", f.url}, args...), &out, &errOut)
	return code, out.String(), errOut.String()
}

// expect runs a command and checks its exit code, and that its output contains
// part.
func (f *fixture) expect(t *testing.T, want int, part string, args ...string) {
	t.Helper()
	code, stdout, stderr := f.run(t, args...)
	if code != want || !strings.Contains(stdout+stderr, part) {
		t.Errorf("%v: exit code %d, want %d with %q\n%s%s", args, code, want, part, stdout, stderr)
	}
}

// writeManifest writes a manifest with these client accounts and one move, and
// returns its path.
func writeManifest(t *testing.T, accounts ...string) string {
	t.Helper()
	var list []string
	for i, name := range accounts {
		list = append(list, fmt.Sprintf(`{"name": %q, "key_sha256": ["%064d"]}`, name, i))
	}
	text := fmt.Sprintf(`{"deployment": "d", "regions": [{"name": "r", "availability_zones": ["a"]}],
		"client_accounts": [%s],
		"pools": [{"name": "p", "kind": "service", "endpoints": [
			{"name": "e1", "address": "127.0.0.1:9", "availability_zone": "a", "version": "v1", "slots": 1},
			{"name": "e2", "address": "127.0.0.1:10", "availability_zone": "a", "version": "v2", "slots": 1}]}],
		"routes": [{"name": "all", "pool": "p", "path": "/"}],
		"moves": [{"name": "m1", "pool": "p", "from_version": "v1", "to_version": "v2",
			"deadline_unix_ms": %d}]}`, strings.Join(list, ","), time.Now().Add(time.Hour).UnixMilli())
	return writeFile(t, text)
}

// writeFile writes the text to a file and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "manifest.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestValidate(t *testing.T) {
	f := newFixture(t)
	f.expect(t, ExitOK, "no findings", "validate", writeManifest(t, "a"))
	invalid := writeFile(t, `{"deployment": "", "colour": 1}`)
	code, _, stderr := f.run(t, "validate", invalid)
	if code != ExitFindings || strings.Count(stderr, invalid+":1:") < 5 {
		t.Errorf("exit code %d, findings:\n%s", code, stderr)
	}
}

func TestCommitAndGet(t *testing.T) {
	f := newFixture(t)
	f.expect(t, ExitFailed, "not found", "get")
	first, second := writeManifest(t, "a"), writeManifest(t, "a", "b")
	f.expect(t, ExitOK, "committed version 1", "commit", first)
	f.expect(t, ExitOK, "unchanged at version 1", "commit", first)
	f.expect(t, ExitConflict, "added client account b", "commit", second, "--if-version", "0")
	f.expect(t, ExitOK, "committed version 2", "commit", second, "--if-version", "1")
	code, stdout, _ := f.run(t, "get", "--json")
	var got struct{ Version uint64 }
	if err := json.Unmarshal([]byte(stdout), &got); code != ExitOK || err != nil || got.Version != 2 {
		t.Errorf("get: %d %v %s", code, err, stdout)
	}
}

func TestConcurrentCommits(t *testing.T) {
	f := newFixture(t)
	f.expect(t, ExitOK, "committed version 1", "commit", writeManifest(t, "a"))
	type result struct {
		code   int
		stderr string
	}
	const commits = 6
	results := ring.New[result]("test", commits)
	for i := range commits {
		path := writeManifest(t, "a", fmt.Sprint("racer-", i))
		go func() {
			var out, errOut bytes.Buffer
			code := Run(t.Context(), []string{"--platform", f.url, "commit", path, "--if-version", "1"}, &out, &errOut)
			_ = results.TryPut(result{code, errOut.String()})
		}()
	}
	committed := 0
	for range commits {
		r, err := results.Take(t.Context())
		switch {
		case err != nil:
			t.Fatal(err)
		case r.code == ExitOK:
			committed++
		case r.code != ExitConflict || !strings.Contains(r.stderr, "the committed version is 2, not 1") ||
			!strings.Contains(r.stderr, "added client account racer-"):
			t.Errorf("rejected commit: exit code %d: %s", r.code, r.stderr)
		}
	}
	if committed != 1 {
		t.Errorf("%d commits succeeded, want 1", committed)
	}
}

func TestCommitRecoversFromLostResponse(t *testing.T) {
	f := newFixture(t)
	f.injectFault(t, `{"lose_answers": 1}`)
	f.expect(t, ExitOK, "committed version 1", "commit", writeManifest(t, "a"))
	f.injectFault(t, `{"outage": true}`)
	f.expect(t, ExitUnavailable, "unavailable", "commit", writeManifest(t, "b"))
}

// From the write on, every connection fails, so that neither a response nor a
// read shows whether the write took effect.
func TestCommitWithUnknownOutcome(t *testing.T) {
	f := newFixture(t)
	var unreachable atomic.Bool
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			unreachable.Store(true)
		}
		if unreachable.Load() {
			panic(http.ErrAbortHandler)
		}
		f.forwardGet(w, r)
	}))
	defer proxy.Close()
	var out, errOut bytes.Buffer
	code := Run(t.Context(), []string{"--platform", proxy.URL, "--timeout", "1s", "commit", writeManifest(t, "a")}, &out, &errOut)
	if code != ExitUnknown || !strings.Contains(errOut.String(), "may or may not") {
		t.Errorf("exit code %d: %s", code, errOut.String())
	}
}

func (f *fixture) forwardGet(w http.ResponseWriter, r *http.Request) {
	response, err := http.Get(f.url + r.URL.RequestURI())
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer response.Body.Close()
	w.WriteHeader(response.StatusCode)
	body, _ := codec.ReadLimited(response.Body, 1<<20)
	_, _ = w.Write(body)
}

func TestCommitRejectsMoveToBadVersion(t *testing.T) {
	f := newFixture(t)
	if _, err := f.client.Put(t.Context(), "verdicts/p/v2", 0, message.BadVersion{Pool: "p", Version: "v2"}); err != nil {
		t.Fatal(err)
	}
	f.expect(t, ExitFindings, `moves[0].to_version: version "v2" of pool "p" was judged bad`, "commit", writeManifest(t, "a"))
}

func TestMoves(t *testing.T) {
	f := newFixture(t)
	f.expect(t, ExitOK, "committed", "commit", writeManifest(t, "a"))
	f.expect(t, ExitOK, "pending", "moves")
	stage := message.MoveStatus{Holder: "host-1/x", Evidence: []canary.RouteEvidence{{Route: "all", Errors: 5}},
		MoveStage: message.MoveStage{Move: "m1", Pool: "p", Stage: message.StageReverted, Reason: "errors on all"}}
	if _, err := f.client.Put(t.Context(), "status/moves/m1", 0, stage); err != nil {
		t.Fatal(err)
	}
	f.expect(t, ExitOK, "errors on all", "moves")
	f.expect(t, ExitOK, `"stage": "reverted"`, "moves", "--json")
	f.expect(t, ExitOK, `"errors": 5`, "moves", "--json")
	f.expect(t, ExitOK, "host-1/x", "moves")
}

func TestStatusQueriesAllMembers(t *testing.T) {
	f := newFixture(t)
	serve := func(s *message.Status) string {
		server := httptest.NewServer(codec.Handle(
			func(context.Context, *message.StatusRequest) (*message.Status, error) { return s, nil }))
		t.Cleanup(server.Close)
		return server.Listener.Addr().String()
	}
	second := &message.Status{Member: message.Member{Host: "h2", Role: message.RoleScheduler}, Ready: true, ManifestVersion: 7}
	first := &message.Status{Member: message.Member{Host: "h1", Role: message.RoleEntry, Draining: true}, ManifestVersion: 6,
		RejectedVersion: 8, Members: []message.Member{{Address: serve(second)}, {Address: "127.0.0.1:1"}},
		Pools: []message.PoolStatus{{Name: "p", Endpoints: 2, DrainingEndpoints: []string{"e1"}}}}
	list := message.HostList{Hosts: []message.ListedHost{{Name: "h1", ControlAddress: serve(first)}}}
	if _, err := f.client.Put(t.Context(), "hosts", 0, list); err != nil {
		t.Fatal(err)
	}
	code, stdout, _ := f.run(t, "status")
	for _, want := range []string{"no answer", "6 (refused 8)", "leaving", "h2", "ready"} {
		if code != ExitOK || !strings.Contains(stdout, want) {
			t.Errorf("exit code %d, no %q in\n%s", code, want, stdout)
		}
	}
	f.expect(t, ExitOK, `"manifest_version": 7`, "status", "--json")
	f.expect(t, ExitUnavailable, "none of 1 processes answered", "status", "--address", "127.0.0.1:1")
}

func TestCommandLine(t *testing.T) {
	f := newFixture(t)
	for _, shell := range []string{"bash", "zsh", "fish"} {
		f.expect(t, ExitOK, "commit", "completion", shell)
	}
	f.expect(t, ExitOK, "kingcupctl", "--version")
	f.expect(t, ExitOK, "another commit", "--help")
	f.expect(t, ExitFindings, "unexpected", "frobnicate")
	var out bytes.Buffer
	t.Setenv("KINGCUP_PLATFORM", "")
	if code := Run(t.Context(), []string{"get"}, &out, &out); code != ExitFindings {
		t.Errorf("no platform: exit code %d: %s", code, out.String())
	}
}

func TestCommitRejectsReusedMoveName(t *testing.T) {
	f := newFixture(t)
	f.expect(t, ExitOK, "committed", "commit", writeManifest(t, "a"))
	text, err := os.ReadFile(writeManifest(t, "b"))
	if err != nil {
		t.Fatal(err)
	}
	reversed := strings.NewReplacer(`"from_version": "v1", "to_version": "v2"`, `"from_version": "v2", "to_version": "v1"`)
	f.expect(t, ExitFindings, `moves[0].name: is already used by the move of pool "p" from "v1" to "v2"`,
		"commit", writeFile(t, reversed.Replace(string(text))))
}

// A reverted move stays in the manifest until the operators remove it. It must
// not prevent other commits, although its target version has a bad verdict.
func TestCommitAcceptsListedRevertedMove(t *testing.T) {
	f := newFixture(t)
	path := writeManifest(t, "a")
	f.expect(t, ExitOK, "committed", "commit", path)
	if _, err := f.client.Put(t.Context(), "verdicts/p/v2", 0, message.BadVersion{Pool: "p", Version: "v2"}); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	f.expect(t, ExitOK, "committed", "commit", writeFile(t, strings.Replace(string(text), `"d"`, `"renamed"`, 1)))
}

// A journal whose settings change could lose keys that are still valid.
func TestCommitRejectsChangedJournalSettings(t *testing.T) {
	f := newFixture(t)
	path := writeManifest(t, "a")
	f.expect(t, ExitOK, "committed version 1", "commit", path)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, field := range []string{`"journal_slots": 16`, `"retention_ms": 7200000`, `"clock_skew_ms": 1000`} {
		changed := strings.Replace(string(text), `"endpoints": [`, field+`, "endpoints": [`, 1)
		f.expect(t, ExitFindings, "cannot change", "commit", writeFile(t, changed))
	}
}
