package admission

import (
	"testing"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/manifest"
)

var now = time.Unix(1_800_000_000, 0)

const text = `{"deployment":"t","tiers":3,"regions":[{"name":"n","availability_zones":["a"]},{"name":"h","availability_zones":["b"]}],
"client_accounts":[{"name":"c","key_sha256":["0000000000000000000000000000000000000000000000000000000000000000"],"max_tier":2,"home_region":"h"}],
"pools":[{"name":"p","kind":"service","endpoints":[{"name":"e","address":"127.0.0.1:1","availability_zone":"a","version":"v","slots":1}]}],
"routes":[{"name":"once","pool":"p","path":"/once","tier":1,"run_once":true,"deadline_ms":1000,"max_body_bytes":10},
{"name":"read","pool":"p","path":"/read/","tier":1,"deadline_ms":1000}]}`

func policy(t testing.TB) (*Policy, *manifest.ClientAccount) {
	m, list := manifest.Parse([]byte(text))
	if len(list) > 0 {
		t.Fatal(list)
	}
	account, _ := m.Account("c")
	return NewPolicy(m), account
}

func TestTerms(t *testing.T) {
	p, account := policy(t)
	load := Load{Max: 100}
	ask := Ask{Account: account, Path: "/once", Key: "k", KeyTime: now, Deadline: time.Hour, HasDeadline: true}
	terms, refusal := p.Admit(ask, load, "n", now)
	if refusal != nil || terms.Tier != 2 || terms.Shard.Region != "h" || terms.Key != "k" ||
		!terms.Deadline.Equal(now.Add(time.Second)) {
		t.Fatalf("%+v %v", terms, refusal)
	}
	ask = Ask{Account: account, Path: "/read/x", Key: "k", Tier: 3, Deadline: time.Millisecond, HasDeadline: true}
	terms, refusal = p.Admit(ask, load, "n", now)
	if refusal != nil || terms.Tier != 3 || terms.Shard.Region != "n" || terms.Key != "" ||
		!terms.Deadline.Equal(now.Add(time.Millisecond)) {
		t.Fatalf("%+v %v", terms, refusal)
	}
	ask.Tier = 9
	if terms, _ = p.Admit(ask, load, "n", now); terms.Tier != 3 {
		t.Fatalf("tier %d", terms.Tier)
	}
}

func TestRefusals(t *testing.T) {
	p, account := policy(t)
	skew, retention := 5*time.Second, time.Hour
	for _, c := range []struct {
		name   string
		change func(*Ask, *Load)
		want   core.Reason
	}{
		{"none", func(*Ask, *Load) {}, ""},
		{"no route", func(a *Ask, _ *Load) { a.Path = "/other" }, core.ReasonUnknownRoute},
		{"too large", func(a *Ask, _ *Load) { a.BodyBytes = 11 }, core.ReasonTooLarge},
		{"no key", func(a *Ask, _ *Load) { a.Key = "" }, core.ReasonKeyRequired},
		{"no UUIDv7", func(a *Ask, _ *Load) { a.KeyTime = time.Time{} }, core.ReasonBadRequest},
		{"oldest key", func(a *Ask, _ *Load) { a.KeyTime = now.Add(-retention) }, ""},
		{"too old key", func(a *Ask, _ *Load) { a.KeyTime = now.Add(-retention - time.Millisecond) }, core.ReasonKeyExpired},
		{"newest key", func(a *Ask, _ *Load) { a.KeyTime = now.Add(skew) }, ""},
		{"too new key", func(a *Ask, _ *Load) { a.KeyTime = now.Add(skew + time.Millisecond) }, core.ReasonBadRequest},
		{"past deadline", func(a *Ask, _ *Load) { a.HasDeadline = true }, core.ReasonDeadlinePassed},
		{"one mark", func(a *Ask, _ *Load) { a.PoisonMarks = 1 }, ""},
		{"two marks", func(a *Ask, _ *Load) { a.PoisonMarks = 2 }, core.ReasonPoison},
		{"full for tier 2", func(_ *Ask, l *Load) { l.InProgress = 91 }, core.ReasonQueueFull},
		{"not full for tier 2", func(_ *Ask, l *Load) { l.InProgress = 90 }, ""},
	} {
		ask := Ask{Account: account, Path: "/once", Key: "k", KeyTime: now}
		load := Load{Max: 100}
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
	p, account := policy(b)
	ask := Ask{Account: account, Path: "/once", Key: "k", KeyTime: now}
	load := Load{Max: 100}
	b.ReportAllocs()
	for b.Loop() {
		if _, refusal := p.Admit(ask, load, "n", now); refusal != nil {
			b.Fatal(refusal)
		}
	}
}
