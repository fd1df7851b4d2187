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
	taken := func() (count int) {
		for range 10 {
			if l.allow(account, now) == nil {
				count++
			}
		}
		return count
	}
	if got := taken(); got != 2 {
		t.Fatalf("%d in a burst, want one second's worth", got)
	}
	if refusal := l.allow(account, now); refusal.Reason != core.ReasonRateLimited || refusal.RetryAfter != time.Second/2 {
		t.Fatalf("%+v", refusal)
	}
	now = now.Add(time.Second)
	if got := taken(); got != 2 {
		t.Fatalf("%d a second later", got)
	}
	account.RequestsPerSecond = 5
	now = now.Add(time.Second)
	if got := taken(); got < 2 || got > 5 {
		t.Fatalf("%d after the limit was raised", got)
	}
	account.RequestsPerSecond = 0
	if got := taken(); got != 10 {
		t.Fatalf("%d without a limit", got)
	}
}

func TestMarksBeforeASuccessDoNotCount(t *testing.T) {
	c := newClearedMarks()
	c.clear("f", 1)
	if got := c.uncleared("f", 2); got != 1 {
		t.Fatalf("%d count, want only the new one", got)
	}
	if got := c.uncleared("f", 0); got != 0 {
		t.Fatalf("%d count after all have expired", got)
	}
	if got := c.uncleared("f", 2); got != 2 {
		t.Fatalf("%d count: an expired mark hides a new one", got)
	}
}

// startDuty returns a duty with one account without a limit, and its ring.
func startDuty(t testing.TB, limit int) (*ring.Ring[Message], string) {
	const hash = "0000000000000000000000000000000000000000000000000000000000000000"
	m, list := manifest.Parse([]byte(`{"deployment":"t","regions":[{"name":"n","availability_zones":["a"]}],
		"client_accounts":[{"name":"c","key_sha256":["` + hash + `"]}],
		"pools":[{"name":"p","kind":"service","endpoints":[{"name":"e","address":"127.0.0.1:1","availability_zone":"a","version":"v","slots":1}]}],
		"routes":[{"name":"r","pool":"p","path":"/r","tier":1}]}`))
	if len(list) > 0 {
		t.Fatal(list)
	}
	views := ring.NewLatest[*control.View]()
	views.Publish(&control.View{Manifest: m, ManifestVersion: 1})
	duty := New(Config{Region: "n", MaxRequests: limit, Views: views})
	ctx, cancel := context.WithCancel(context.Background())
	ended := ring.NewReply[error]()
	go func() { ended.Send(duty.Serve(ctx)) }()
	t.Cleanup(func() {
		cancel()
		_, _ = ended.Wait(context.Background())
	})
	return duty.Inbox(), hash
}

func openRequest(t testing.TB, inbox *ring.Ring[Message], token, hash string) OpenReply {
	m := Open{Reply: ring.NewReply[OpenReply](), Token: token, Method: "GET", Path: "/r", KeyHash: hash}
	_ = inbox.Put(t.Context(), m)
	opened, err := m.Wait(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return opened
}

func TestRequestsInProgressAreBounded(t *testing.T) {
	inbox, hash := startDuty(t, 2)
	for _, token := range []string{"1", "2"} {
		if opened := openRequest(t, inbox, token, hash); opened.Refusal != nil {
			t.Fatal(opened.Refusal)
		}
	}
	if opened := openRequest(t, inbox, "3", hash); opened.Refusal == nil || opened.Refusal.Reason != core.ReasonQueueFull {
		t.Fatalf("%+v", opened)
	}
	_ = inbox.Put(t.Context(), Close{Token: "3"}) // was refused, frees nothing
	_ = inbox.Put(t.Context(), Close{Token: "1"})
	if opened := openRequest(t, inbox, "4", hash); opened.Refusal != nil {
		t.Fatal(opened.Refusal)
	}
	if opened := openRequest(t, inbox, "5", hash); opened.Refusal == nil {
		t.Fatal("a refused request freed a place")
	}
}

// One request's opening, question and closing, with their hops.
func BenchmarkAdmission(b *testing.B) {
	inbox, hash := startDuty(b, 0)
	b.ReportAllocs()
	for b.Loop() {
		openRequest(b, inbox, "t", hash)
		q := Admit{Reply: ring.NewReply[Ticket](), Token: "t", Request: decision.Request{Method: "GET", Path: "/r"}}
		_ = inbox.Put(b.Context(), q)
		if ticket, err := q.Wait(b.Context()); err != nil || ticket.Refusal != nil {
			b.Fatal(err, ticket.Refusal)
		}
		_ = inbox.Put(b.Context(), Close{Token: "t"})
	}
}
