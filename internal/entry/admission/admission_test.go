package admission

import (
	"context"
	"testing"
	"time"

	"go.uber.org/goleak"

	"kingcupcourse/internal/control"
	"kingcupcourse/internal/core"
	decision "kingcupcourse/internal/decision/admission"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/ring"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestRateLimitFollowsTheManifest(t *testing.T) {
	l, now := newRateLimiters(), time.Unix(1000, 0)
	account := &manifest.ClientAccount{Name: "a", RequestsPerSecond: 2}
	countAllowed := func() (count int) {
		for range 10 {
			if l.allow(account, now) == nil {
				count++
			}
		}
		return count
	}
	if got := countAllowed(); got != 2 {
		t.Fatalf("a burst of %d allowed, want the requests of one second", got)
	}
	if refusal := l.allow(account, now); refusal.Reason != core.ReasonRateLimited || refusal.RetryAfter != time.Second/2 {
		t.Fatalf("%+v", refusal)
	}
	now = now.Add(time.Second)
	if got := countAllowed(); got != 2 {
		t.Fatalf("%d allowed one second later", got)
	}
	account.RequestsPerSecond = 5
	now = now.Add(time.Second)
	if got := countAllowed(); got < 2 || got > 5 {
		t.Fatalf("%d allowed after the limit was raised", got)
	}
	account.RequestsPerSecond = 0
	if got := countAllowed(); got != 10 {
		t.Fatalf("%d allowed without a limit", got)
	}
}

func TestMarksBeforeASuccessDoNotCount(t *testing.T) {
	c := newClearedMarks()
	c.clear("f", 1)
	if got := c.uncleared("f", 2); got != 1 {
		t.Fatalf("%d marks count, want only the new one", got)
	}
	if got := c.uncleared("f", 0); got != 0 {
		t.Fatalf("%d marks count after all have expired", got)
	}
	if got := c.uncleared("f", 2); got != 2 {
		t.Fatalf("%d marks count: an expired mark hides a new one", got)
	}
}

// startDuty returns a duty with one account without a limit, and its ring.
func startDuty(t testing.TB, maxRequests int) (*ring.Ring[Message], string) {
	const hash = "0000000000000000000000000000000000000000000000000000000000000000"
	m, findings := manifest.Parse([]byte(`{"deployment":"t","regions":[{"name":"n","availability_zones":["a"]}],
		"client_accounts":[{"name":"c","key_sha256":["` + hash + `"]}],
		"pools":[{"name":"p","kind":"service","endpoints":[{"name":"e","address":"127.0.0.1:1","availability_zone":"a","version":"v","slots":1}]}],
		"routes":[{"name":"r","pool":"p","path":"/r","tier":1}]}`))
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	views := ring.NewLatest[*control.View]()
	views.Publish(&control.View{Manifest: m, ManifestVersion: 1})
	duty := New(Config{Region: "n", MaxRequests: maxRequests, Views: views})
	ctx, cancel := context.WithCancel(context.Background())
	stopped := ring.NewReply[error]()
	go func() { stopped.Send(duty.Serve(ctx)) }()
	t.Cleanup(func() {
		cancel()
		_, _ = stopped.Wait(context.Background())
	})
	return duty.Inbox(), hash
}

func openRequest(t testing.TB, inbox *ring.Ring[Message], token, hash string) OpenReply {
	m := Open{Reply: ring.NewReply[OpenReply](), Token: token, Method: "GET", Path: "/r", KeyHash: hash}
	_ = inbox.Put(t.Context(), m)
	reply, err := m.Wait(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return reply
}

func TestRequestsInProgressAreBounded(t *testing.T) {
	inbox, hash := startDuty(t, 2)
	for _, token := range []string{"1", "2"} {
		if reply := openRequest(t, inbox, token, hash); reply.Refusal != nil {
			t.Fatal(reply.Refusal)
		}
	}
	if reply := openRequest(t, inbox, "3", hash); reply.Refusal == nil || reply.Refusal.Reason != core.ReasonQueueFull {
		t.Fatalf("%+v", reply)
	}
	_ = inbox.Put(t.Context(), Close{Token: "3"}) // refused, so this releases nothing
	_ = inbox.Put(t.Context(), Close{Token: "1"})
	if reply := openRequest(t, inbox, "4", hash); reply.Refusal != nil {
		t.Fatal(reply.Refusal)
	}
	if reply := openRequest(t, inbox, "5", hash); reply.Refusal == nil {
		t.Fatal("closing a refused request released a slot")
	}
}

// BenchmarkAdmission measures the Open, Admit and Close messages of one
// request, including the ring hops.
func BenchmarkAdmission(b *testing.B) {
	inbox, hash := startDuty(b, 0)
	b.ReportAllocs()
	for b.Loop() {
		openRequest(b, inbox, "t", hash)
		admit := Admit{Reply: ring.NewReply[Ticket](), Token: "t", Request: decision.Request{Method: "GET", Path: "/r"}}
		_ = inbox.Put(b.Context(), admit)
		if ticket, err := admit.Wait(b.Context()); err != nil || ticket.Refusal != nil {
			b.Fatal(err, ticket.Refusal)
		}
		_ = inbox.Put(b.Context(), Close{Token: "t"})
	}
}
