package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"kingcupcourse/internal/control"
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/ownership"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/settings"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testKey = "secret"

// fakeControl publishes views and records facts.
type fakeControl struct {
	mu    sync.Mutex
	views []control.Subscription
	facts []message.Fact
}

func (c *fakeControl) Subscribe() control.Subscription {
	view := ring.NewLatest[*control.View]()
	c.views = append(c.views, view)
	return view
}

func (c *fakeControl) Report(fact message.Fact) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.facts = append(c.facts, fact)
	return nil
}

func (c *fakeControl) factKeys(kind message.FactKind) (keys []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, fact := range c.facts {
		if fact.Kind == kind {
			keys = append(keys, fact.Key)
		}
	}
	return keys
}

// fakeScheduler grants the first endpoint of the pool that the request does not
// exclude.
type fakeScheduler struct {
	*httptest.Server
	mu    sync.Mutex
	pools map[string][]core.Grant // the endpoints to grant, by pool
	// replyTo replaces the reply to a grant call unless it is nil or returns
	// nil.
	replyTo  func(message.GrantRequest) *message.GrantReply
	grants   []message.GrantRequest
	outcomes []core.Outcome
}

func newFakeScheduler(t *testing.T) *fakeScheduler {
	s := &fakeScheduler{pools: map[string][]core.Grant{}}
	mux := http.NewServeMux()
	mux.HandleFunc(message.PathGrants, s.handleGrant)
	mux.HandleFunc(message.PathOutcomes, s.handleOutcomes)
	s.Server = httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return s
}

func (s *fakeScheduler) handleGrant(w http.ResponseWriter, r *http.Request) {
	var request message.GrantRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	s.mu.Lock()
	s.grants = append(s.grants, request)
	replyTo := s.replyTo
	s.mu.Unlock()
	if replyTo != nil {
		if reply := replyTo(request); reply != nil {
			_ = json.NewEncoder(w).Encode(reply)
			return
		}
	}
	_ = json.NewEncoder(w).Encode(s.nextGrant(request))
}

func (s *fakeScheduler) nextGrant(request message.GrantRequest) message.GrantReply {
	for _, grant := range s.pools[request.Pool] {
		excluded := false
		for _, name := range request.Exclude {
			excluded = excluded || name == grant.Endpoint
		}
		if !excluded {
			grant.Attempt = request.Attempt
			return message.GrantReply{Grant: &grant}
		}
	}
	return message.GrantReply{Refusal: &message.Refusal{Refusal: *core.Refuse(core.ReasonNoEndpoint, "none left")}}
}

func (s *fakeScheduler) handleOutcomes(w http.ResponseWriter, r *http.Request) {
	var report message.OutcomeReport
	_ = json.NewDecoder(r.Body).Decode(&report)
	s.mu.Lock()
	s.outcomes = append(s.outcomes, report.Outcomes...)
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(message.OutcomeAck{})
}

func (s *fakeScheduler) results() (results []core.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.outcomes {
		results = append(results, o.Result)
	}
	return results
}

func (s *fakeScheduler) grantRequests() []message.GrantRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]message.GrantRequest(nil), s.grants...)
}

// fixture is an entry under test with a fake control and a fake scheduler.
type fixture struct {
	t         *testing.T
	entry     *Entry
	control   *fakeControl
	scheduler *fakeScheduler
	client    *http.Client
	manifest  *manifest.Manifest
	stop      func()
}

// backend is one endpoint of a fixture.
type backend struct{ pool, name, address string }

func newFixture(t *testing.T, backends ...backend) *fixture {
	t.Helper()
	scheduler := newFakeScheduler(t)
	fake := &fakeControl{}
	s := settings.Entry{Callers: "127.0.0.1:0", Common: settings.Common{
		Host: "host-1", Region: "north", AvailabilityZone: "north-a", DrainMS: 20_000}}
	entry, err := New(s, fake, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{t: t, entry: entry, control: fake, scheduler: scheduler,
		client: &http.Client{Transport: &http.Transport{}}}
	for _, b := range backends {
		scheduler.pools[b.pool] = append(scheduler.pools[b.pool],
			core.Grant{Endpoint: b.name, Address: b.address, Version: "v1"})
	}
	f.manifest = testManifest(t, backends)
	f.publish(f.view())
	ctx, cancel := context.WithCancel(context.Background())
	stopped := ring.NewReply[error]()
	go func() { stopped.Send(entry.Serve(ctx)) }()
	f.stop = sync.OnceFunc(func() {
		cancel()
		_, _ = stopped.Wait(context.Background())
		f.client.CloseIdleConnections()
		http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	})
	t.Cleanup(f.stop)
	return f
}

func (f *fixture) member() message.Member {
	return message.Member{Host: "host-1", Role: message.RoleScheduler, Region: "north",
		Address: strings.TrimPrefix(f.scheduler.URL, "http://")}
}

func (f *fixture) publish(view *control.View) {
	for _, subscription := range f.control.views {
		subscription.Publish(view)
	}
}

func testManifest(t *testing.T, backends []backend) *manifest.Manifest {
	t.Helper()
	endpoints := map[string][]string{"models": {}, "ledger": {}}
	for _, b := range backends {
		endpoints[b.pool] = append(endpoints[b.pool], fmt.Sprintf(
			`{"name":%q,"address":%q,"availability_zone":"north-a","version":"v1","slots":4}`, b.name, b.address))
	}
	for pool, port := range map[string]int{"models": 1, "ledger": 2} {
		if len(endpoints[pool]) == 0 {
			endpoints[pool] = []string{fmt.Sprintf(
				`{"name":"%s-unused","address":"127.0.0.1:%d","availability_zone":"north-a","version":"v1","slots":4}`, pool, port)}
		}
	}
	sum := sha256.Sum256([]byte(testKey))
	manifestText := fmt.Sprintf(testManifestJSON, hex.EncodeToString(sum[:]),
		strings.Join(endpoints["models"], ","), strings.Join(endpoints["ledger"], ","))
	m, findings := manifest.Parse([]byte(manifestText))
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	return m
}

const testManifestJSON = `{"deployment":"test","tiers":3,
"regions":[{"name":"north","availability_zones":["north-a"]}],
"client_accounts":[{"name":"clerks","key_sha256":[%q]}],
"pools":[
 {"name":"models","kind":"model","progress_timeout_ms":600,"endpoints":[%s]},
 {"name":"ledger","kind":"service","progress_timeout_ms":600,"endpoints":[%s]}],
"routes":[
 {"name":"drafts","pool":"models","methods":["POST"],"path":"/v1/completions","model":"draft","tier":1,"run_once":true,"deadline_ms":20000},
 {"name":"chat","pool":"models","methods":["POST"],"path":"/v1/completions","model":"chat","tier":2,"deadline_ms":20000,"max_body_bytes":65536},
 {"name":"transfers","pool":"ledger","methods":["POST"],"path":"/v1/transfers","tier":1,"run_once":true,"deadline_ms":20000},
 {"name":"balances","pool":"ledger","methods":["GET"],"path":"/v1/balances/","tier":2,"deadline_ms":20000}]}`

// callResult is a complete response.
type callResult struct {
	status int
	header http.Header
	body   string
}

// do sends a request as the test account. Headers have the form "Name: value".
func (f *fixture) do(ctx context.Context, method, path, body string, headers ...string) (callResult, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+f.entry.CallersAddress()+path, strings.NewReader(body))
	if err != nil {
		return callResult{}, err
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		request.Header.Set(name, value)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return callResult{}, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return callResult{response.StatusCode, response.Header, string(content)}, err
}

func (f *fixture) mustDo(method, path, body string, headers ...string) callResult {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), 30*time.Second)
	defer cancel()
	got, err := f.do(ctx, method, path, body, headers...)
	if err != nil {
		f.t.Fatalf("%s %s: %v", method, path, err)
	}
	return got
}

func newKeyHeader() string { return "Idempotency-Key: " + uuid.Must(uuid.NewV7()).String() }

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// startHangingScheduler starts a scheduler that does not respond until
// released. Its host name is chosen so that it ranks first for the ledger.
func startHangingScheduler(t *testing.T, released chan struct{}) message.Member {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-released }))
	t.Cleanup(server.Close)
	shard := ownership.Shard{Pool: "ledger", Region: "north"}
	member := message.Member{Role: message.RoleScheduler, Region: "north",
		Address: strings.TrimPrefix(server.URL, "http://")}
	for i := 0; ; i++ {
		member.Host = fmt.Sprintf("hung-%d", i)
		other := message.Member{Host: "host-1", Role: message.RoleScheduler, Region: "north"}
		if ownership.RankSchedulers(shard, []message.Member{other, member})[0].Host == member.Host {
			return member
		}
	}
}

// expectRefusal checks the status, disposition and reason of a refusal.
func expectRefusal(t *testing.T, got callResult, status int, disposition core.Disposition, reason core.Reason) {
	t.Helper()
	var body struct {
		Error struct {
			Disposition core.Disposition `json:"disposition"`
			Reason      core.Reason      `json:"reason"`
		} `json:"error"`
	}
	err := json.Unmarshal([]byte(got.body), &body)
	if err != nil || got.status != status || body.Error.Disposition != disposition || body.Error.Reason != reason {
		t.Fatalf("got %d %s, want %d %s %s", got.status, got.body, status, disposition, reason)
	}
	if got.header.Get("Kingcup-Disposition") != string(disposition) {
		t.Fatalf("header %q", got.header.Get("Kingcup-Disposition"))
	}
}
