package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/control"
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/settings"
	"kingcupcourse/internal/supervisor"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakePlatform stores objects in memory.
type fakePlatform struct {
	mu      sync.Mutex
	objects map[string]platform.Object
	version uint64
	down    bool
	// loseResponses is the number of next writes that are applied but whose
	// answer is lost.
	loseResponses int
}

func newFakePlatform() *fakePlatform { return &fakePlatform{objects: map[string]platform.Object{}} }

func (p *fakePlatform) update(change func(*fakePlatform)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

func (p *fakePlatform) Get(_ context.Context, key string) (platform.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	object, ok := p.objects[key]
	switch {
	case p.down:
		return object, platform.ErrUnavailable
	case !ok:
		return object, platform.ErrNotFound
	}
	return object, nil
}

func (p *fakePlatform) Put(_ context.Context, key string, ifVersion uint64, value any) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return 0, platform.ErrUnavailable
	}
	if found := p.objects[key].Version; found != ifVersion {
		return 0, &platform.ConflictError{Version: found}
	}
	body, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	p.version++
	p.objects[key] = platform.Object{Key: key, Version: p.version, Value: body}
	if p.loseResponses > 0 {
		p.loseResponses--
		return 0, platform.ErrOutcomeUnknown
	}
	return p.version, nil
}

const (
	testPool   = "citations"
	testRegion = "pk-north"
	testZone   = "pk-north-a"
)

// fixture is a running scheduler with one endpoint.
type fixture struct {
	t        *testing.T
	address  string
	platform *fakePlatform
	views    control.Subscription
	client   *http.Client
	view     control.View
	root     *supervisor.Supervisor
	stop     func()
}

func startFixture(t *testing.T, p *fakePlatform, slots int) *fixture {
	t.Helper()
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"as_of_unix_ms":%d,"version":"v1","state":"ready"}`, time.Now().UnixMilli())
	}))
	t.Cleanup(engine.Close)
	f := &fixture{t: t, platform: p, client: &http.Client{Transport: &http.Transport{}}}
	f.views = ring.NewLatest[*control.View]()
	mux := http.NewServeMux()
	c := config{Views: f.views, Mux: mux, Platform: p, Log: zap.NewNop()}
	c.Settings.Common = settings.Common{Host: "h1", Region: testRegion, AvailabilityZone: testZone}
	duties := build(c)
	listener, err := supervisor.Listen("127.0.0.1:0", mux, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	f.address = listener.Address()
	f.root = supervisor.New(supervisor.Spec{Name: "root", Children: slices.Concat(duties.BeforeListener,
		[]supervisor.Child{{Name: "listener", Duty: listener}}, duties.AfterListener)}, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	ended := ring.NewReply[error]()
	go func() { ended.Send(f.root.Serve(ctx)) }()
	f.stop = sync.OnceFunc(func() {
		cancel()
		_, _ = ended.Wait(context.Background())
		f.client.CloseIdleConnections()
	})
	t.Cleanup(f.stop)
	f.view = control.View{ManifestVersion: 1, Manifest: testManifest(strings.TrimPrefix(engine.URL, "http://"), slots),
		Members: []message.Member{{Host: "h1", Role: message.RoleScheduler, Region: testRegion, Address: f.address}}}
	f.publish()
	return f
}

func (f *fixture) publish() {
	view := f.view
	view.Members = slices.Clone(f.view.Members) // published views are immutable
	f.views.Publish(&view)
}

func testManifest(address string, slots int) *manifest.Manifest {
	return &manifest.Manifest{
		Regions:        []manifest.Region{{Name: testRegion, AvailabilityZones: []core.AvailabilityZone{testZone}}},
		ClientAccounts: []manifest.ClientAccount{{Name: "desk"}},
		Pools: []manifest.Pool{{Name: testPool, Kind: core.KindModel, JournalSlots: 8, Endpoints: []manifest.Endpoint{
			{Name: "e1", Address: address, AvailabilityZone: testZone, Version: "v1", Slots: slots}}}},
		Routes: []manifest.Route{{Name: "draft", Pool: testPool, Path: "/v1/completions", RunOnce: true}},
	}
}

func newRequest(tier core.Tier) message.GrantRequest {
	id := uuid.NewString()
	return message.GrantRequest{RequestID: id, Attempt: id + "/1", Host: "entry-1", Account: "desk", Tier: tier,
		Pool: testPool, Route: "draft", PromptTokens: 100, DeadlineUnixMS: time.Now().Add(time.Minute).UnixMilli()}
}

func withKey(r message.GrantRequest) message.GrantRequest {
	key, _ := uuid.NewV7()
	r.Key, r.Fingerprint = key.String(), "f"
	return r
}

// requestGrant requests a grant and repeats the request until the scheduler
// knows the pool.
func (f *fixture) requestGrant(r message.GrantRequest) message.GrantReply {
	f.t.Helper()
	for range 100 {
		ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
		var reply message.GrantReply
		err := codec.Call(ctx, f.client, f.address, message.PathGrants, r, &reply)
		cancel()
		if err != nil {
			f.t.Fatal(err)
		}
		if reply.Refusal == nil || reply.Refusal.Reason != core.ReasonNotReady {
			return reply
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatal("the scheduler did not become ready")
	return message.GrantReply{}
}

func (f *fixture) report(outcomes ...core.Outcome) {
	f.t.Helper()
	var ack message.OutcomeAck
	report := message.OutcomeReport{Host: "entry-1", Pool: testPool, Outcomes: outcomes}
	if err := codec.Call(f.t.Context(), f.client, f.address, message.PathOutcomes, report, &ack); err != nil {
		f.t.Fatal(err)
	}
}

func TestGrantOnFreeEndpoint(t *testing.T) {
	f := startFixture(t, newFakePlatform(), 2)
	reply := f.requestGrant(newRequest(2))
	if reply.Grant == nil || reply.Grant.Endpoint != "e1" {
		t.Fatalf("got %+v", reply)
	}
}

func TestRunOnceRequestIsGrantedOnce(t *testing.T) {
	f := startFixture(t, newFakePlatform(), 2)
	first := withKey(newRequest(1))
	if reply := f.requestGrant(first); reply.Grant == nil {
		t.Fatalf("got %+v", reply.Refusal)
	}
	second := first
	second.Attempt += "x"
	if reply := f.requestGrant(second); reply.Refusal == nil || reply.Refusal.Disposition != core.OutcomeUnknown {
		t.Fatalf("a second attempt with the key: got %+v", reply)
	}
	f.report(core.Outcome{Attempt: first.Attempt, Endpoint: "e1", Key: first.Key, Result: core.ResultOK,
		Status: http.StatusCreated, ResponseBody: []byte("done")})
	reply := f.requestGrant(second)
	if reply.Prior == nil || string(reply.Prior.ResponseBody) != "done" || reply.Prior.Status != http.StatusCreated {
		t.Fatalf("after the first attempt has finished: got %+v", reply)
	}
}

func TestRefusedResendReportsUnknownOutcome(t *testing.T) {
	f := startFixture(t, newFakePlatform(), 2)
	first := withKey(newRequest(1))
	if reply := f.requestGrant(first); reply.Grant == nil {
		t.Fatalf("got %+v", reply.Refusal)
	}
	resend := first
	resend.Attempt += "x"
	resend.DeadlineUnixMS = time.Now().UnixMilli() // already expired, so it is never queued
	if reply := f.requestGrant(resend); reply.Refusal == nil || reply.Refusal.Disposition != core.OutcomeUnknown {
		t.Fatalf("a resend: got %+v", reply)
	}
	other := withKey(resend)
	other.Attempt += "y"
	if reply := f.requestGrant(other); reply.Refusal == nil || reply.Refusal.Disposition != core.NotRun {
		t.Fatalf("a new key: got %+v", reply)
	}
}

func TestJournalOutageRefusesOnlyRunOnceRequests(t *testing.T) {
	f := startFixture(t, newFakePlatform(), 4)
	if reply := f.requestGrant(withKey(newRequest(1))); reply.Grant == nil {
		t.Fatalf("got %+v", reply.Refusal)
	}
	f.platform.update(func(p *fakePlatform) { p.down = true })
	start := time.Now()
	reply := f.requestGrant(withKey(newRequest(1)))
	if reply.Refusal == nil || reply.Refusal.Reason != core.ReasonJournalUnavailable || reply.Refusal.RetryAfterMS == 0 {
		t.Fatalf("got %+v", reply)
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Fatalf("refused after %v", took)
	}
	if reply := f.requestGrant(newRequest(1)); reply.Grant == nil {
		t.Fatalf("a repeatable request: got %+v", reply.Refusal)
	}
}

func TestJournalRecoversLostWriteResponses(t *testing.T) {
	f := startFixture(t, newFakePlatform(), 4)
	f.platform.update(func(p *fakePlatform) { p.loseResponses = 2 })
	for range 3 {
		if reply := f.requestGrant(withKey(newRequest(1))); reply.Grant == nil {
			t.Fatalf("got %+v", reply.Refusal)
		}
	}
}

func TestNewOwnerReadsReservations(t *testing.T) {
	p := newFakePlatform()
	f := startFixture(t, p, 4)
	request := withKey(newRequest(1))
	if reply := f.requestGrant(request); reply.Grant == nil {
		t.Fatalf("got %+v", reply.Refusal)
	}
	f.stop()
	successor := startFixture(t, p, 4)
	request.Attempt += "x"
	reply := successor.requestGrant(request)
	if reply.Refusal == nil || reply.Refusal.Reason != core.ReasonInProgress {
		t.Fatalf("got %+v", reply)
	}
}

func TestDrainRedirectsWaitingRequests(t *testing.T) {
	f := startFixture(t, newFakePlatform(), 1)
	if reply := f.requestGrant(newRequest(1)); reply.Grant == nil {
		t.Fatalf("got %+v", reply.Refusal)
	}
	f.view.Members = append(f.view.Members, message.Member{Host: "h2", Role: message.RoleScheduler,
		Region: testRegion, Address: "127.0.0.1:9", Draining: true})
	f.publish()
	waiting := ring.NewReply[message.GrantReply]()
	go func() { waiting.Send(f.requestGrant(newRequest(1))) }()
	time.Sleep(100 * time.Millisecond)
	f.view.Members[0].Draining, f.view.Members[1].Draining = true, false
	f.publish()
	time.Sleep(100 * time.Millisecond)
	f.stop()
	reply, err := waiting.Wait(t.Context())
	if err != nil || reply.Refusal == nil || reply.Refusal.Reason != core.ReasonNotOwner || reply.Owner != "127.0.0.1:9" {
		t.Fatalf("got %+v, %v", reply, err)
	}
}

func TestDutiesRestartAfterKill(t *testing.T) {
	f := startFixture(t, newFakePlatform(), 64)
	if reply := f.requestGrant(withKey(newRequest(1))); reply.Grant == nil {
		t.Fatalf("got %+v", reply.Refusal)
	}
	for _, child := range f.root.Paths() {
		if err := f.root.Kill(child); err != nil {
			t.Fatalf("%s: %v", child, err)
		}
		if reply := f.waitForGrant(withKey(newRequest(1))); reply.Grant == nil {
			t.Fatalf("after the kill of %s: got %+v", child, reply)
		}
		time.Sleep(2100 * time.Millisecond / 4) // stays below the restart intensity
	}
}

// waitForGrant repeats a request until it is granted, for at most two seconds.
func (f *fixture) waitForGrant(r message.GrantRequest) (reply message.GrantReply) {
	for start := time.Now(); time.Since(start) < 2*time.Second; {
		ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
		err := codec.Call(ctx, f.client, f.address, message.PathGrants, r, &reply)
		cancel()
		if err == nil && reply.Grant != nil {
			return reply
		}
		time.Sleep(20 * time.Millisecond)
	}
	return reply
}
