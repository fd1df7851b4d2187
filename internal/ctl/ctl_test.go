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

// fixture is a stand-in platform with a client of it.
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
	ended := ring.NewReply[error]()
	go func() { ended.Send(p.Supervisor().Serve(ctx)) }()
	t.Cleanup(func() {
		stop()
		_, _ = ended.Wait(context.Background())
	})
	url := "http://" + p.Address()
	return &fixture{Platform: p, url: url, client: platform.New(url)}
}

func (b *fixture) injectFault(t *testing.T, order string) {
	t.Helper()
	if err := b.SetFault(t.Context(), []byte(order)); err != nil {
		t.Fatal(err)
	}
}

// run runs a command and returns its exit code and outputs.
func (b *fixture) run(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errOut bytes.Buffer
	code = Run(t.Context(), append([]string{"--platform", b.url}, args...), &out, &errOut)
	return code, out.String(), errOut.String()
}

func (b *fixture) expect(t *testing.T, want int, part string, args ...string) {
	t.Helper()
	code, stdout, stderr := b.run(t, args...)
	if code != want || !strings.Contains(stdout+stderr, part) {
		t.Errorf("%v: exit code %d, want %d with %q\n%s%s", args, code, want, part, stdout, stderr)
	}
}

// writeManifest writes a manifest with the client accounts named and one move.
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

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "manifest.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestValidate(t *testing.T) {
	b := newFixture(t)
	b.expect(t, ExitOK, "no findings", "validate", writeManifest(t, "a"))
	bad := writeFile(t, `{"deployment": "", "colour": 1}`)
	code, _, stderr := b.run(t, "validate", bad)
	if code != ExitFindings || strings.Count(stderr, bad+":1:") < 5 {
		t.Errorf("exit code %d, findings:\n%s", code, stderr)
	}
}

func TestCommitAndGet(t *testing.T) {
	b := newFixture(t)
	b.expect(t, ExitFailed, "not found", "get")
	one, two := writeManifest(t, "a"), writeManifest(t, "a", "b")
	b.expect(t, ExitOK, "committed version 1", "commit", one)
	b.expect(t, ExitOK, "unchanged at version 1", "commit", one)
	b.expect(t, ExitConflict, "added client account b", "commit", two, "--if-version", "0")
	b.expect(t, ExitOK, "committed version 2", "commit", two, "--if-version", "1")
	code, stdout, _ := b.run(t, "get", "--json")
	var got struct{ Version uint64 }
	if err := json.Unmarshal([]byte(stdout), &got); code != ExitOK || err != nil || got.Version != 2 {
		t.Errorf("get: %d %v %s", code, err, stdout)
	}
}

func TestConcurrentCommits(t *testing.T) {
	b := newFixture(t)
	b.expect(t, ExitOK, "committed version 1", "commit", writeManifest(t, "a"))
	type result struct {
		code   int
		stderr string
	}
	const racers = 6
	results := ring.New[result]("test", racers)
	for i := range racers {
		path := writeManifest(t, "a", fmt.Sprint("racer-", i))
		go func() {
			var out, errOut bytes.Buffer
			code := Run(t.Context(), []string{"--platform", b.url, "commit", path, "--if-version", "1"}, &out, &errOut)
			_ = results.TryPut(result{code, errOut.String()})
		}()
	}
	won := 0
	for range racers {
		r, err := results.Take(t.Context())
		switch {
		case err != nil:
			t.Fatal(err)
		case r.code == ExitOK:
			won++
		case r.code != ExitConflict || !strings.Contains(r.stderr, "the committed version is 2, not 1") ||
			!strings.Contains(r.stderr, "added client account racer-"):
			t.Errorf("a loser saw exit code %d: %s", r.code, r.stderr)
		}
	}
	if won != 1 {
		t.Errorf("%d commits won", won)
	}
}

func TestCommitRecoversFromLostAnswer(t *testing.T) {
	b := newFixture(t)
	b.injectFault(t, `{"lose_answers": 1}`)
	b.expect(t, ExitOK, "committed version 1", "commit", writeManifest(t, "a"))
	b.injectFault(t, `{"outage": true}`)
	b.expect(t, ExitUnavailable, "unavailable", "commit", writeManifest(t, "b"))
}

// TestCommitWithUnknownOutcome lets the write through and then takes away the
// means to find out.
func TestCommitWithUnknownOutcome(t *testing.T) {
	b := newFixture(t)
	var lost atomic.Bool
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			lost.Store(true)
		}
		if lost.Load() {
			panic(http.ErrAbortHandler)
		}
		b.forwardGet(w, r)
	}))
	defer front.Close()
	var out, errOut bytes.Buffer
	code := Run(t.Context(), []string{"--platform", front.URL, "--timeout", "1s", "commit", writeManifest(t, "a")}, &out, &errOut)
	if code != ExitUnknown || !strings.Contains(errOut.String(), "may or may not") {
		t.Errorf("exit code %d: %s", code, errOut.String())
	}
}

func (b *fixture) forwardGet(w http.ResponseWriter, r *http.Request) {
	response, err := http.Get(b.url + r.URL.RequestURI())
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer response.Body.Close()
	w.WriteHeader(response.StatusCode)
	body, _ := codec.ReadLimited(response.Body, 1<<20)
	_, _ = w.Write(body)
}

func TestCommitRejectsMoveToBadVersion(t *testing.T) {
	b := newFixture(t)
	if _, err := b.client.Put(t.Context(), "verdicts/p/v2", 0, message.BadVersion{Pool: "p", Version: "v2"}); err != nil {
		t.Fatal(err)
	}
	b.expect(t, ExitFindings, `moves[0].to_version: version "v2" of pool "p" was judged bad`, "commit", writeManifest(t, "a"))
}

func TestMoves(t *testing.T) {
	b := newFixture(t)
	b.expect(t, ExitOK, "committed", "commit", writeManifest(t, "a"))
	b.expect(t, ExitOK, "pending", "moves")
	stage := message.MoveStatus{Holder: "host-1/x", Evidence: []canary.RouteEvidence{{Route: "all", Errors: 5}},
		MoveStage: message.MoveStage{Move: "m1", Pool: "p", Stage: message.StageReverted, Reason: "errors on all"}}
	if _, err := b.client.Put(t.Context(), "status/moves/m1", 0, stage); err != nil {
		t.Fatal(err)
	}
	b.expect(t, ExitOK, "errors on all", "moves")
	b.expect(t, ExitOK, `"stage": "reverted"`, "moves", "--json")
	b.expect(t, ExitOK, `"errors": 5`, "moves", "--json")
	b.expect(t, ExitOK, "host-1/x", "moves")
}

func TestStatusQueriesAllMembers(t *testing.T) {
	b := newFixture(t)
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
	if _, err := b.client.Put(t.Context(), "hosts", 0, list); err != nil {
		t.Fatal(err)
	}
	code, stdout, _ := b.run(t, "status")
	for _, want := range []string{"no answer", "6 (refused 8)", "leaving", "h2", "ready"} {
		if code != ExitOK || !strings.Contains(stdout, want) {
			t.Errorf("exit code %d, no %q in\n%s", code, want, stdout)
		}
	}
	b.expect(t, ExitOK, `"manifest_version": 7`, "status", "--json")
	b.expect(t, ExitUnavailable, "none of 1 processes answered", "status", "--address", "127.0.0.1:1")
}

func TestCommandLine(t *testing.T) {
	b := newFixture(t)
	for _, shell := range []string{"bash", "zsh", "fish"} {
		b.expect(t, ExitOK, "commit", "completion", shell)
	}
	b.expect(t, ExitOK, "kingcupctl", "--version")
	b.expect(t, ExitOK, "another commit", "--help")
	b.expect(t, ExitFindings, "unexpected", "frobnicate")
	var out bytes.Buffer
	t.Setenv("KINGCUP_PLATFORM", "")
	if code := Run(t.Context(), []string{"get"}, &out, &out); code != ExitFindings {
		t.Errorf("no platform: exit code %d: %s", code, out.String())
	}
}

func TestCommitRejectsReusedMoveName(t *testing.T) {
	b := newFixture(t)
	b.expect(t, ExitOK, "committed", "commit", writeManifest(t, "a"))
	text, err := os.ReadFile(writeManifest(t, "b"))
	if err != nil {
		t.Fatal(err)
	}
	turned := strings.NewReplacer(`"from_version": "v1", "to_version": "v2"`, `"from_version": "v2", "to_version": "v1"`)
	b.expect(t, ExitFindings, `moves[0].name: is that of the move of pool "p" from "v1" to "v2"`,
		"commit", writeFile(t, turned.Replace(string(text))))
}

// A move that was taken back stays listed until the operators remove it; that
// must not keep them from committing anything else.
func TestCommitAcceptsListedRevertedMove(t *testing.T) {
	b := newFixture(t)
	path := writeManifest(t, "a")
	b.expect(t, ExitOK, "committed", "commit", path)
	if _, err := b.client.Put(t.Context(), "verdicts/p/v2", 0, message.BadVersion{Pool: "p", Version: "v2"}); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	b.expect(t, ExitOK, "committed", "commit", writeFile(t, strings.Replace(string(text), `"d"`, `"renamed"`, 1)))
}

// A journal that is read or kept in another way than it was written could
// forget keys in force.
func TestCommitRejectsChangedJournalSettings(t *testing.T) {
	b := newFixture(t)
	path := writeManifest(t, "a")
	b.expect(t, ExitOK, "committed version 1", "commit", path)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, field := range []string{`"journal_slots": 16`, `"retention_ms": 7200000`, `"clock_skew_ms": 1000`} {
		changed := strings.Replace(string(text), `"endpoints": [`, field+`, "endpoints": [`, 1)
		b.expect(t, ExitFindings, "cannot change", "commit", writeFile(t, changed))
	}
}
