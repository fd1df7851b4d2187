package estimate

import (
	"math/rand/v2"
	"testing"
	"time"

	"kingcupcourse/internal/core"
)

// Guards against long prompts being taken for many times slower than they are: an
// engine's first token takes a fixed time besides the prefill, which short prompts
// alone would turn into a low prefill rate.
func TestFirstTokenHasAFixedPart(t *testing.T) {
	const fixed, perToken = 50 * time.Millisecond, 7 * time.Microsecond
	s, e := NewSpeeds(), core.Endpoint{Name: "e", PrefillRate: 150_000}
	random := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		tokens := 200 + int(random.ExpFloat64()*2000)
		s.Observe(e, "v", Sample{PrefillTokens: tokens, FirstToken: fixed + time.Duration(tokens)*perToken})
	}
	for _, tokens := range []int{500, 5000, 40_000} {
		want := time.Duration(tokens) * perToken
		if got := s.Prefill(e, "v", tokens); (got - want).Abs() > want/10 {
			t.Errorf("prefill of %d tokens: %v, want about %v", tokens, got, want)
		}
		if got := s.FirstToken(e, "v", tokens); (got - want - fixed).Abs() > (want+fixed)/10 {
			t.Errorf("first token after %d tokens: %v, want about %v", tokens, got, want+fixed)
		}
	}
}

// Prompts of one length do not tell the fixed part from the rate: their sum must
// be right all the same.
func TestFirstTokenOfPromptsOfOneLength(t *testing.T) {
	s, e := NewSpeeds(), core.Endpoint{Name: "e", PrefillRate: 150_000}
	for range 50 {
		s.Observe(e, "v", Sample{PrefillTokens: 1000, FirstToken: 80 * time.Millisecond})
	}
	if got := s.FirstToken(e, "v", 1000); (got - 80*time.Millisecond).Abs() > time.Millisecond {
		t.Errorf("got %v, want 80ms", got)
	}
	if got := s.Prefill(e, "v", 1000); got > 80*time.Millisecond {
		t.Errorf("prefill takes %v, longer than the first token", got)
	}
}
