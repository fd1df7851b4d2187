package estimate

import (
	"testing"
	"time"

	"kingcupcourse/internal/core"
)

var epoch = time.UnixMilli(1_700_000_000_000)

func TestSpeedsConvergeToSamples(t *testing.T) {
	s := NewSpeeds()
	e := core.Endpoint{Name: "e", PrefillRate: 1000, DecodeRate: 10}
	if got := s.Prefill(e, "v", 1000); got != time.Second {
		t.Fatalf("initial prefill estimate is %v, want 1s", got)
	}
	if got := s.Decode(e, "v", 1, 10); got != time.Second {
		t.Fatalf("initial decode estimate is %v, want 1s", got)
	}
	for range 40 {
		s.Observe(e, "v", Sample{PrefillTokens: 1000, OutputTokens: 100, Concurrency: 2,
			FirstToken: 500 * time.Millisecond, BetweenTokens: 20 * time.Millisecond, Total: 2 * time.Second, EndedAt: epoch})
	}
	for name, pair := range map[string][2]time.Duration{
		"prefill": {s.Prefill(e, "v", 1000), 500 * time.Millisecond},
		"decode":  {s.Decode(e, "v", 2, 100), 2 * time.Second},
		"service": {s.Service(e, "v"), 2 * time.Second},
	} {
		if diff := pair[0] - pair[1]; diff.Abs() > pair[1]/20 {
			t.Errorf("%s: learned %v, want about %v", name, pair[0], pair[1])
		}
	}
	if s.Prefill(e, "other", 1000) != time.Second {
		t.Error("another version does not start from the initial estimate")
	}
	if !s.Fresh(e, "v", epoch) || s.Fresh(e, "v", epoch.Add(time.Minute)) || s.Fresh(e, "other", epoch) {
		t.Error("an estimate must be fresh only with recent samples of its version")
	}
}

func TestDecodeTimeGrowsWithConcurrency(t *testing.T) {
	s := NewSpeeds()
	e := core.Endpoint{Name: "e"}
	for n := range 200 {
		running := 1 + n%8
		s.Observe(e, "v", Sample{OutputTokens: 10, Concurrency: running,
			BetweenTokens: time.Duration(10+2*running) * time.Millisecond})
	}
	for _, running := range []int{1, 4, 8} {
		want := time.Duration(10+2*running) * time.Millisecond
		if got := s.Decode(e, "v", running, 1); (got - want).Abs() > want/10 {
			t.Errorf("with %d running requests: got %v, want about %v", running, got, want)
		}
	}
}

func TestLengthsByRouteAndAccount(t *testing.T) {
	l := NewLengths()
	if got := l.Quantile("r", "a", 0.5, 256); got != 256 {
		t.Fatalf("initial estimate is %d, want 256", got)
	}
	for n := range 200 {
		l.Observe("r", "a", n) // the window keeps the last 64: 136 to 199
		l.Observe("r", "b", 3)
	}
	for _, test := range []struct {
		account string
		q       float64
		want    int
	}{{"a", 0, 136}, {"a", 0.5, 168}, {"a", 1, 199}, {"b", 0.5, 3}} {
		if got := l.Quantile("r", test.account, test.q, 256); got != test.want {
			t.Errorf("%s at %.1f: %d, want %d", test.account, test.q, got, test.want)
		}
	}
}
