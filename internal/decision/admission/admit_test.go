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
	m, findings := manifest.Parse([]byte(manifestJSON))
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	account, _ := m.Account("c")
	return NewPolicy(m), account
}

func TestAdmitSetsTierShardAndDeadline(t *testing.T) {
	p, account := newTestPolicy(t)
	load := Load{MaxInProgress: 100}
	req := Request{Account: account, Path: "/once", IdempotencyKey: "k", KeyTime: now, Timeout: time.Hour, HasTimeout: true}
	decision, refusal := p.Admit(req, load, "n", now)
	if refusal != nil || decision.Tier != 2 || decision.Shard.Region != "h" || decision.IdempotencyKey != "k" ||
		!decision.Deadline.Equal(now.Add(time.Second)) {
		t.Fatalf("run-once request: got %+v, refusal %v", decision, refusal)
	}
	req = Request{Account: account, Path: "/read/x", IdempotencyKey: "k", Tier: 3, Timeout: time.Millisecond, HasTimeout: true}
	decision, refusal = p.Admit(req, load, "n", now)
	if refusal != nil || decision.Tier != 3 || decision.Shard.Region != "n" || decision.IdempotencyKey != "" ||
		!decision.Deadline.Equal(now.Add(time.Millisecond)) {
		t.Fatalf("request that may be retried: got %+v, refusal %v", decision, refusal)
	}
	req.Tier = 9
	if decision, _ = p.Admit(req, load, "n", now); decision.Tier != 3 {
		t.Fatalf("got tier %d, want 3", decision.Tier)
	}
}

func TestAdmitRefusals(t *testing.T) {
	p, account := newTestPolicy(t)
	skew, retention := 5*time.Second, time.Hour
	for _, c := range []struct {
		name   string
		modify func(*Request, *Load)
		want   core.Reason
	}{
		{"none", func(*Request, *Load) {}, ""},
		{"no route", func(r *Request, _ *Load) { r.Path = "/other" }, core.ReasonUnknownRoute},
		{"body too large", func(r *Request, _ *Load) { r.BodyBytes = 11 }, core.ReasonTooLarge},
		{"no key", func(r *Request, _ *Load) { r.IdempotencyKey = "" }, core.ReasonKeyRequired},
		{"key is not a UUIDv7", func(r *Request, _ *Load) { r.KeyTime = time.Time{} }, core.ReasonBadRequest},
		{"oldest accepted key", func(r *Request, _ *Load) { r.KeyTime = now.Add(-retention) }, ""},
		{"key past retention", func(r *Request, _ *Load) { r.KeyTime = now.Add(-retention - time.Millisecond) }, core.ReasonKeyExpired},
		{"newest accepted key", func(r *Request, _ *Load) { r.KeyTime = now.Add(skew) }, ""},
		{"key beyond clock skew", func(r *Request, _ *Load) { r.KeyTime = now.Add(skew + time.Millisecond) }, core.ReasonBadRequest},
		{"deadline in the past", func(r *Request, _ *Load) { r.HasTimeout = true }, core.ReasonDeadlinePassed},
		{"one poison mark", func(r *Request, _ *Load) { r.PoisonMarks = 1 }, ""},
		{"two poison marks", func(r *Request, _ *Load) { r.PoisonMarks = 2 }, core.ReasonPoison},
		{"full for tier 2", func(_ *Request, l *Load) { l.InProgress = 91 }, core.ReasonQueueFull},
		{"not full for tier 2", func(_ *Request, l *Load) { l.InProgress = 90 }, ""},
	} {
		req := Request{Account: account, Path: "/once", IdempotencyKey: "k", KeyTime: now}
		load := Load{MaxInProgress: 100}
		c.modify(&req, &load)
		_, refusal := p.Admit(req, load, "n", now)
		var got core.Reason
		if refusal != nil {
			got = refusal.Reason
			if refusal.Disposition != core.NotRun {
				t.Errorf("%s: got disposition %s, want not run", c.name, refusal.Disposition)
			}
		}
		if got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

func BenchmarkAdmit(b *testing.B) {
	p, account := newTestPolicy(b)
	req := Request{Account: account, Path: "/once", IdempotencyKey: "k", KeyTime: now}
	load := Load{MaxInProgress: 100}
	b.ReportAllocs()
	for b.Loop() {
		if _, refusal := p.Admit(req, load, "n", now); refusal != nil {
			b.Fatal(refusal)
		}
	}
}
