package reports

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/control"
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/ownership"
	"kingcupcourse/internal/entry/peer"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	shard = ownership.Shard{Pool: "p", Region: "n"}
	now   = time.Unix(1000, 0)
)

func newAttemptEnded(attempt, key string) AttemptEnded {
	return AttemptEnded{Shard: shard, KeepUntil: now.Add(time.Hour),
		Outcome: core.Outcome{Attempt: attempt, Key: key, Result: core.ResultOK}}
}

func TestOutcomesAreKeptUntilAcknowledged(t *testing.T) {
	s := newShardState(shard)
	s.addOutcome(newAttemptEnded("a", ""))
	if !s.isDue(now) {
		t.Fatal("the first report is not due at once")
	}
	first := s.buildReport("h", 1, now)
	s.addOutcome(newAttemptEnded("b", ""))
	if s.isDue(now) {
		t.Fatal("a second report is due while one is in flight")
	}
	s.handleFailure(now)
	if s.isDue(now) || !s.isDue(now.Add(retryInterval)) {
		t.Fatal("no pause after a failure")
	}
	second := s.buildReport("h", 1, now.Add(retryInterval))
	if len(first.Outcomes) != 1 || len(second.Outcomes) != 2 || !second.Full {
		t.Fatalf("%d then %d outcomes, full %t", len(first.Outcomes), len(second.Outcomes), second.Full)
	}
	s.handleAck()
	if len(s.unsent) != 0 {
		t.Fatal("acknowledged outcomes are kept")
	}
}

func TestUnkeyedOutcomesAreDroppedFirst(t *testing.T) {
	s := newShardState(shard)
	s.addOutcome(newAttemptEnded("keyed", "k"))
	for i := range maxUnsentOutcomes + 10 {
		s.addOutcome(newAttemptEnded(fmt.Sprint(i), ""))
	}
	if len(s.unsent) != maxUnsentOutcomes || s.unsent[0].outcome.Attempt != "keyed" {
		t.Fatalf("%d outcomes kept, the first is %s", len(s.unsent), s.unsent[0].outcome.Attempt)
	}
}

func TestOutcomesExpire(t *testing.T) {
	s := newShardState(shard)
	s.addOutcome(newAttemptEnded("a", "k"))
	if report := s.buildReport("h", 1, now.Add(2*time.Hour)); len(report.Outcomes) != 0 {
		t.Fatal("an outcome is reported after its retention")
	}
}

func TestReportTargetFollowsRedirectAndRank(t *testing.T) {
	s := newShardState(shard)
	members := []message.Member{{Host: "1", Role: message.RoleScheduler, Region: "n", Address: "one"},
		{Host: "2", Role: message.RoleScheduler, Region: "n", Address: "two"}}
	first := s.targetAddress(members)
	s.handleFailure(now)
	if second := s.targetAddress(members); second == first {
		t.Fatal("the scheduler that failed is used again at once")
	}
	s.handleRedirect("named", now)
	if s.targetAddress(members) != "named" {
		t.Fatal("the redirect is not followed")
	}
	s.handleAck()
	if s.targetAddress(members) != "named" {
		t.Fatal("the target changed after an acknowledgement")
	}
}

// fakeScheduler records reports; while down it responds with 503.
type fakeScheduler struct {
	*httptest.Server
	mu      sync.Mutex
	reports []message.OutcomeReport
	down    bool
}

func newFakeScheduler(t *testing.T) *fakeScheduler {
	s := &fakeScheduler{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var report message.OutcomeReport
		_ = json.NewDecoder(r.Body).Decode(&report)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.reports = append(s.reports, report)
		_ = json.NewEncoder(w).Encode(message.OutcomeAck{})
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *fakeScheduler) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeScheduler) countReports(condition func(message.OutcomeReport) bool) (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, report := range s.reports {
		if condition(report) {
			count++
		}
	}
	return count
}

func startReports(t *testing.T, s *fakeScheduler) *Reports {
	views := ring.NewLatest[*control.View]()
	views.Publish(&control.View{
		Manifest: &manifest.Manifest{Pools: []manifest.Pool{{Name: "p"}}, Regions: []manifest.Region{{Name: "n"}}},
		Members: []message.Member{{Host: "1", Role: message.RoleScheduler, Region: "n",
			Address: strings.TrimPrefix(s.URL, "http://")}}})
	client := peer.NewClient()
	r := New(Config{Host: "h", Views: views}, client, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	stopped := ring.NewReply[error]()
	go func() { stopped.Send(r.Serve(ctx)) }()
	t.Cleanup(func() {
		cancel()
		_, _ = stopped.Wait(context.Background())
		client.Close()
	})
	return r
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

func TestFullReportListsRunningAttempts(t *testing.T) {
	s := newFakeScheduler(t)
	r := startReports(t, s)
	_ = r.Inbox.Put(t.Context(), AttemptStarted{Shard: shard, Running: message.RunningRequest{Attempt: "a"}})
	_ = r.Inbox.Put(t.Context(), AttemptProgress{Shard: shard, Attempt: "a", OutputTokens: 7})
	eventually(t, "two heartbeats with the attempt", func() bool {
		return s.countReports(func(report message.OutcomeReport) bool {
			return report.Full && len(report.Running) == 1 && report.Running[0].OutputTokens == 7
		}) >= 2
	})
}

func TestOutcomeIsResentUntilAcknowledged(t *testing.T) {
	s := newFakeScheduler(t)
	s.setDown(true)
	r := startReports(t, s)
	m := newAttemptEnded("a", "k")
	m.KeepUntil = time.Now().Add(time.Hour)
	m.Acknowledged = ring.NewReply[struct{}]()
	_ = r.Inbox.Put(t.Context(), m)
	ctx, cancel := context.WithTimeout(t.Context(), 3*retryInterval)
	defer cancel()
	if _, err := m.Acknowledged.Wait(ctx); err == nil {
		t.Fatal("acknowledged although the scheduler is down")
	}
	s.setDown(false)
	if _, err := m.Acknowledged.Wait(t.Context()); err != nil {
		t.Fatal(err)
	}
}

func TestErrorResponseDoesNotCancelGrantCall(t *testing.T) {
	r := newReporter(Config{}, nil, nil)
	call, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	WatchGrant{Address: "a", Attempt: "x", Cancel: cancel}.handle(r, now)
	for range 3 {
		r.updateReachability("a", peer.Unanswered)
		r.updateReachability("a", peer.ReachabilityOf(&codec.CallError{Status: http.StatusServiceUnavailable}))
	}
	if call.Err() != nil {
		t.Fatal("cancelled although the scheduler answers")
	}
	r.updateReachability("a", peer.ReachabilityOf(&codec.CallError{Cause: &net.OpError{Op: "dial", Err: errors.New("refused")}}))
	if call.Err() == nil {
		t.Fatal("not cancelled although the scheduler is unreachable")
	}
}

func TestGrantCallIsCancelledWhenSchedulerIsSilent(t *testing.T) {
	s := newFakeScheduler(t)
	released := make(chan struct{})
	s.Config.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-released })
	defer close(released)
	r := startReports(t, s)
	call, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	_ = r.Inbox.Put(t.Context(), WatchGrant{Address: strings.TrimPrefix(s.URL, "http://"), Attempt: "a", Cancel: cancel})
	start := time.Now()
	select {
	case <-call.Done():
	case <-time.After(10 * time.Second):
		t.Fatal("not cancelled")
	}
	if time.Since(start) < reportTimeout {
		t.Fatal("cancelled after one report")
	}
	if !errors.Is(context.Cause(call), ErrSchedulerSilent) {
		t.Fatal(context.Cause(call))
	}
}
