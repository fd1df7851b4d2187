package queue

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/control"
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/ownership"
	"kingcupcourse/internal/decision/placement"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/scheduler/inbox"
)

// newDuty returns a duty that owns a model pool with endpoints e0, e1, ... of
// the given slots and no longer waits for the reports of entries.
func newDuty(endpoints, slots int) *Duty {
	policy, _ := placement.NewPolicy(placement.PolicyKingcup)
	d := New(Config{Shard: ownership.Shard{Pool: "p", Region: "r"}, Host: "h1", Policy: policy,
		Inbox: ring.New[inbox.QueueMessage]("test", 16), Journal: ring.New[inbox.JournalMessage]("test", 16), Log: zap.NewNop()})
	m := &manifest.Manifest{
		Regions: []manifest.Region{{Name: "r", AvailabilityZones: []core.AvailabilityZone{"z"}}},
		Pools:   []manifest.Pool{{Name: "p", Kind: core.KindModel, QueueRequests: 64}},
	}
	for n := range endpoints {
		m.Pools[0].Endpoints = append(m.Pools[0].Endpoints, manifest.Endpoint{Name: fmt.Sprint("e", n),
			AvailabilityZone: "z", Version: "v1", Slots: slots})
	}
	d.applyView(&control.View{Manifest: m, ManifestVersion: 1, Members: []message.Member{
		{Host: "h1", Role: message.RoleScheduler, Region: "r", Address: "here"}}}, time.Now())
	d.awaitReportsUntil = time.Time{}
	return d
}

func (d *Duty) requestGrant(t testing.TB, id string, tier core.Tier, deadline time.Duration) ring.Reply[message.GrantReply] {
	t.Helper()
	grant := inbox.RequestGrant{Reply: ring.NewReply[message.GrantReply](), Request: message.GrantRequest{
		RequestID: id, Attempt: id, Host: "entry", Account: "a", Tier: tier, Pool: "p", PromptTokens: 400,
		MaxOutputTokens: 100, DeadlineUnixMS: time.Now().Add(deadline).UnixMilli()}}
	if err := d.handle(grant); err != nil {
		t.Fatal(err)
	}
	return grant.Reply
}

func (d *Duty) finishAttempt(t testing.TB, id, endpoint string) {
	t.Helper()
	report := inbox.ReportOutcomes{Reply: ring.NewReply[message.OutcomeAck](), Report: message.OutcomeReport{Host: "entry",
		Pool: "p", Outcomes: []core.Outcome{{Attempt: id, Endpoint: endpoint, Version: "v1", Result: core.ResultOK,
			OutputTokens: 100, FirstTokenMS: 100, BetweenTokensMS: 20, TotalMS: 2100}}}}
	if err := d.handle(report); err != nil {
		t.Fatal(err)
	}
}

// pollReply returns the reply if it has arrived. It tries several times, because
// a reply and the timeout may occur at the same time.
func pollReply(t testing.TB, reply ring.Reply[message.GrantReply]) (message.GrantReply, bool) {
	t.Helper()
	for range 10 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		got, err := reply.Wait(ctx)
		cancel()
		if err == nil {
			return got, true
		}
	}
	return message.GrantReply{}, false
}

func TestPlacementRespectsSlotsAndTierOrder(t *testing.T) {
	d := newDuty(1, 1)
	running := d.requestGrant(t, "running", 3, time.Minute)
	low, top := d.requestGrant(t, "low", 2, time.Minute), d.requestGrant(t, "top", 1, time.Minute)
	if got, ok := pollReply(t, running); !ok || got.Grant == nil {
		t.Fatalf("first request: %+v", got)
	}
	for _, waiting := range []ring.Reply[message.GrantReply]{low, top} {
		if got, ok := pollReply(t, waiting); ok {
			t.Fatalf("replied without a free slot: %+v", got)
		}
	}
	d.finishAttempt(t, "running", "e0")
	if got, ok := pollReply(t, top); !ok || got.Grant == nil {
		t.Fatalf("tier 1: %+v", got)
	}
	if got, ok := pollReply(t, low); ok {
		t.Fatalf("tier 2: %+v", got)
	}
}

func TestAdmissionIgnoresWorkOfLowerTiers(t *testing.T) {
	d := newDuty(1, 1)
	d.requestGrant(t, "running", 3, time.Minute)
	refused := 0
	for n := range 40 {
		if got, ok := pollReply(t, d.requestGrant(t, fmt.Sprint("low", n), 3, 30*time.Second)); ok {
			if got.Refusal == nil || got.Refusal.Reason != core.ReasonDeadlineTooSoon || got.Refusal.RetryAfterMS == 0 {
				t.Fatalf("tier 3: %+v", got)
			}
			refused++
		}
	}
	if refused == 0 || refused == 40 {
		t.Fatalf("%d of 40 refused, want those that cannot finish in 30 s", refused)
	}
	if got, ok := pollReply(t, d.requestGrant(t, "top", 1, 30*time.Second)); ok {
		t.Fatalf("tier 1 with nothing ahead got a reply before a slot was free: %+v", got)
	}
}

func TestRequestWaitsForFasterEndpoint(t *testing.T) {
	d := newDuty(2, 1)
	d.endpoints["e0"].DecodeRate, d.endpoints["e1"].DecodeRate = 400, 1
	if got, ok := pollReply(t, d.requestGrant(t, "running", 1, time.Hour)); !ok || got.Grant.Endpoint != "e0" {
		t.Fatalf("got %+v", got)
	}
	// 100 tokens take 100 s on e1, where 50 s are left, and 0.25 s on e0.
	waiting := d.requestGrant(t, "waiting", 1, 50*time.Second)
	if got, ok := pollReply(t, waiting); ok {
		t.Fatalf("placed on the slow endpoint: %+v", got)
	}
	d.finishAttempt(t, "running", "e0")
	if got, ok := pollReply(t, waiting); !ok || got.Grant.Endpoint != "e0" {
		t.Fatalf("got %+v", got)
	}
}

func TestNewOwnerWaitsForEntryReports(t *testing.T) {
	d := newDuty(1, 2)
	view := *d.view
	view.Members = append(view.Members, message.Member{Host: "entry", Role: message.RoleEntry, Region: "r"})
	d.owned = false
	d.applyView(&view, time.Now())
	first, second := d.requestGrant(t, "first", 1, time.Minute), d.requestGrant(t, "second", 1, time.Minute)
	if got, ok := pollReply(t, first); ok {
		t.Fatalf("placed before the report of the entry: %+v", got)
	}
	report := inbox.ReportOutcomes{Reply: ring.NewReply[message.OutcomeAck](), Report: message.OutcomeReport{Host: "entry", Pool: "p",
		Full: true, Running: []message.RunningRequest{{Attempt: "old", Endpoint: "e0", MaxOutputTokens: 100}}}}
	if err := d.handle(report); err != nil {
		t.Fatal(err)
	}
	if got, ok := pollReply(t, first); !ok || got.Grant == nil {
		t.Fatalf("after the report: %+v", got)
	}
	if got, ok := pollReply(t, second); ok {
		t.Fatalf("placed on the slot of the reported attempt: %+v", got)
	}
}

func TestExpiredRequestIsRefused(t *testing.T) {
	d := newDuty(1, 1)
	d.requestGrant(t, "running", 1, time.Minute)
	waiting := d.requestGrant(t, "waiting", 1, 30*time.Second)
	d.expireWaiting(time.Now().Add(31 * time.Second))
	got, ok := pollReply(t, waiting)
	if !ok || got.Refusal == nil || got.Refusal.Disposition != core.NotRun {
		t.Fatalf("got %+v", got)
	}
}

// BenchmarkGrantAndOutcome measures the cost of one request in the queue duty of
// a pool with 20 endpoints and half of their slots occupied.
func BenchmarkGrantAndOutcome(b *testing.B) {
	d := newDuty(20, 8)
	for n := range 80 {
		d.requestGrant(b, fmt.Sprint("before", n), 1, time.Hour)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		id := fmt.Sprint(n)
		got, err := d.requestGrant(b, id, 1, time.Hour).Wait(b.Context())
		if err != nil || got.Grant == nil {
			b.Fatalf("got %+v, %v", got, err)
		}
		d.finishAttempt(b, id, got.Grant.Endpoint)
	}
}
