package admission

import (
	"testing"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/manifest"
)

var now = time.Unix(1_800_000_000, 0)

const manifestJSON = `{"deployment":"t","tiers":3,"regions":[{"name":"n","availability_zones":["a"]},{"name":"h","availability_zones":["b"]}],
"client_accounts":[{"name":"c","key_sha256":["0000000000000000000000000000000000000000000000000000000000000000"],"max_tier":2,"home_region":"h"}],
"pools":[{"name":"p","kind":"service","endpoints":[{"name":"e","address":"127.0.0.1:1","availability_zone":"a","version":"v","slots":1}]}],
"routes":[{"name":"once","pool":"p","path":"/once","tier":1,"run_once":true,"deadline_ms":1000,"max_body_bytes":10},
{"name":"read","pool":"p","path":"/read/","tier":1,"deadline_ms":1000}]}`

func newTestPolicy(t testing.TB) (*Policy, *manifest.ClientAccount) {
	m, list := manifest.Parse([]byte(manifestJSON))
	if len(list) > 0 {
		t.Fatal(list)
	}
	account, _ := m.Account("c")
	return NewPolicy(m), account
}

func TestAdmitSetsTierShardAndDeadline(t *testing.T) {
	p, account := newTestPolicy(t)
	load := Load{MaxInProgress: 100}
	ask := Request{Account: account, Path: "/once", IdempotencyKey: "k", KeyTime: now, Timeout: time.Hour, HasTimeout: true}
	terms, refusal := p.Admit(ask, load, "n", now)
	if refusal != nil || terms.Tier != 2 || terms.Shard.Region != "h" || terms.IdempotencyKey != "k" ||
		!terms.Deadline.Equal(now.Add(time.Second)) {
		t.Fatalf("%+v %v", terms, refusal)
	}
	ask = Request{Account: account, Path: "/read/x", IdempotencyKey: "k", Tier: 3, Timeout: time.Millisecond, HasTimeout: true}
	terms, refusal = p.Admit(ask, load, "n", now)
	if refusal != nil || terms.Tier != 3 || terms.Shard.Region != "n" || terms.IdempotencyKey != "" ||
		!terms.Deadline.Equal(now.Add(time.Millisecond)) {
		t.Fatalf("%+v %v", terms, refusal)
	}
	ask.Tier = 9
	if terms, _ = p.Admit(ask, load, "n", now); terms.Tier != 3 {
		t.Fatalf("tier %d", terms.Tier)
	}
}

func TestAdmitRefusals(t *testing.T) {
	p, account := newTestPolicy(t)
	skew, retention := 5*time.Second, time.Hour
	for _, c := range []struct {
		name   string
		change func(*Request, *Load)
		want   core.Reason
	}{
		{"none", func(*Request, *Load) {}, ""},
		{"no route", func(a *Request, _ *Load) { a.Path = "/other" }, core.ReasonUnknownRoute},
		{"too large", func(a *Request, _ *Load) { a.BodyBytes = 11 }, core.ReasonTooLarge},
		{"no key", func(a *Request, _ *Load) { a.IdempotencyKey = "" }, core.ReasonKeyRequired},
		{"no UUIDv7", func(a *Request, _ *Load) { a.KeyTime = time.Time{} }, core.ReasonBadRequest},
		{"oldest key", func(a *Request, _ *Load) { a.KeyTime = now.Add(-retention) }, ""},
		{"too old key", func(a *Request, _ *Load) { a.KeyTime = now.Add(-retention - time.Millisecond) }, core.ReasonKeyExpired},
		{"newest key", func(a *Request, _ *Load) { a.KeyTime = now.Add(skew) }, ""},
		{"too new key", func(a *Request, _ *Load) { a.KeyTime = now.Add(skew + time.Millisecond) }, core.ReasonBadRequest},
		{"past deadline", func(a *Request, _ *Load) { a.HasTimeout = true }, core.ReasonDeadlinePassed},
		{"one mark", func(a *Request, _ *Load) { a.PoisonMarks = 1 }, ""},
		{"two marks", func(a *Request, _ *Load) { a.PoisonMarks = 2 }, core.ReasonPoison},
		{"full for tier 2", func(_ *Request, l *Load) { l.InProgress = 91 }, core.ReasonQueueFull},
		{"not full for tier 2", func(_ *Request, l *Load) { l.InProgress = 90 }, ""},
	} {
		ask := Request{Account: account, Path: "/once", IdempotencyKey: "k", KeyTime: now}
		load := Load{MaxInProgress: 100}
		c.change(&ask, &load)
		_, refusal := p.Admit(ask, load, "n", now)
		var got core.Reason
		if refusal != nil {
			got = refusal.Reason
			if refusal.Disposition != core.NotRun {
				t.Errorf("%s: %s", c.name, refusal.Disposition)
			}
		}
		if got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

func BenchmarkAdmit(b *testing.B) {
	p, account := newTestPolicy(b)
	ask := Request{Account: account, Path: "/once", IdempotencyKey: "k", KeyTime: now}
	load := Load{MaxInProgress: 100}
	b.ReportAllocs()
	for b.Loop() {
		if _, refusal := p.Admit(ask, load, "n", now); refusal != nil {
			b.Fatal(refusal)
		}
	}
}
