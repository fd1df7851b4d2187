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

// fakeScheduler grants the endpoints of a pool in turn.
type fakeScheduler struct {
	*httptest.Server
	mu       sync.Mutex
	pools    map[string][]core.Grant
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
	answer := s.replyTo
	s.mu.Unlock()
	if answer != nil {
		if reply := answer(request); reply != nil {
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

// fixture is an entry under test.
type fixture struct {
	t         *testing.T
	entry     *Entry
	control   *fakeControl
	scheduler *fakeScheduler
	client    *http.Client
	manifest  *manifest.Manifest
	stop      func()
}

// backend is one backend end of a rig.
type backend struct{ pool, name, address string }

func newFixture(t *testing.T, backs ...backend) *fixture {
	t.Helper()
	scheduler := newFakeScheduler(t)
	fake := &fakeControl{}
	s := settings.Entry{Callers: "127.0.0.1:0", Common: settings.Common{
		Host: "host-1", Region: "north", AvailabilityZone: "north-a", DrainMS: 20_000}}
	entry, err := New(s, fake, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	r := &fixture{t: t, entry: entry, control: fake, scheduler: scheduler,
		client: &http.Client{Transport: &http.Transport{}}}
	for _, b := range backs {
		scheduler.pools[b.pool] = append(scheduler.pools[b.pool],
			core.Grant{Endpoint: b.name, Address: b.address, Version: "v1"})
	}
	r.manifest = testManifest(t, backs)
	r.publish(r.view())
	ctx, cancel := context.WithCancel(context.Background())
	ended := ring.NewReply[error]()
	go func() { ended.Send(entry.Serve(ctx)) }()
	r.stop = sync.OnceFunc(func() {
		cancel()
		_, _ = ended.Wait(context.Background())
		r.client.CloseIdleConnections()
		http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	})
	t.Cleanup(r.stop)
	return r
}

func (r *fixture) member() message.Member {
	return message.Member{Host: "host-1", Role: message.RoleScheduler, Region: "north",
		Address: strings.TrimPrefix(r.scheduler.URL, "http://")}
}

func (r *fixture) publish(view *control.View) {
	for _, subscription := range r.control.views {
		subscription.Publish(view)
	}
}

func testManifest(t *testing.T, backs []backend) *manifest.Manifest {
	t.Helper()
	endpoints := map[string][]string{"models": {}, "ledger": {}}
	for _, b := range backs {
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
	text := fmt.Sprintf(testManifestJSON, hex.EncodeToString(sum[:]),
		strings.Join(endpoints["models"], ","), strings.Join(endpoints["ledger"], ","))
	m, list := manifest.Parse([]byte(text))
	if len(list) > 0 {
		t.Fatal(list)
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

// callResult is a whole response.
type callResult struct {
	status int
	header http.Header
	body   string
}

// do makes a call as the test account. Headers are given as "Name: value".
func (r *fixture) do(ctx context.Context, method, path, body string, headers ...string) (callResult, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+r.entry.CallersAddress()+path, strings.NewReader(body))
	if err != nil {
		return callResult{}, err
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		request.Header.Set(name, value)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return callResult{}, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return callResult{response.StatusCode, response.Header, string(content)}, err
}

func (r *fixture) mustDo(method, path, body string, headers ...string) callResult {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(r.t.Context(), 30*time.Second)
	defer cancel()
	got, err := r.do(ctx, method, path, body, headers...)
	if err != nil {
		r.t.Fatalf("%s %s: %v", method, path, err)
	}
	return got
}

func newKeyHeader() string { return "Idempotency-Key: " + uuid.Must(uuid.NewV7()).String() }

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// startHangingScheduler returns a scheduler that takes calls and answers none
// until released. Its name puts it first in rank for the ledger.
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

// expectRefusal checks a refusal.
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
