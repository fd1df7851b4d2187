package overload

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var byTier = []float64{0.3, 0.2, 0.1}

func TestMaxWait(t *testing.T) {
	const objective = time.Second
	for _, test := range []struct {
		shares []float64
		tier   int
		want   time.Duration
	}{
		{nil, 0, 600 * time.Millisecond},
		{nil, 7, 600 * time.Millisecond},
		{byTier, -1, 300 * time.Millisecond},
		{byTier, 0, 300 * time.Millisecond},
		{byTier, 1, 200 * time.Millisecond},
		{byTier, 2, 100 * time.Millisecond},
		{byTier, 9, 100 * time.Millisecond},
	} {
		if got, bounded := NewPolicy(test.shares).MaxWait(Request{Tier: test.tier, Objective: objective}); !bounded || got != test.want {
			t.Errorf("%v, tier %d: %v, want %v", test.shares, test.tier, got, test.want)
		}
	}
	for tier, want := range []time.Duration{210, 110, 10} {
		got, _ := NewPolicy(byTier).MaxWait(Request{Tier: tier, Objective: objective, WaitPart: 0.1})
		if (got - want*time.Millisecond).Abs() > time.Microsecond {
			t.Errorf("a tenth of the wait of tier %d: %v, want %v", tier, got, want*time.Millisecond)
		}
	}
	if NewPolicy(nil).Refuses(Request{}, time.Hour) {
		t.Error("a request without an objective was refused")
	}
}

func TestRetryAfterIsTheTimeUntilTheWaitIsShortEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := NewPolicy(byTier)
		request := Request{Tier: rapid.IntRange(0, 3).Draw(t, "tier"), Objective: time.Duration(rapid.IntRange(1, 5000).Draw(t, "objective")) * time.Millisecond}
		wait := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "wait")) * time.Millisecond
		delay := policy.RetryAfter(request, wait)
		if delay < MinRetryAfter {
			t.Fatalf("delay of %v is too short", delay)
		}
		if policy.Refuses(request, max(0, wait-delay)) {
			t.Fatalf("refused again after %v of a wait of %v", delay, wait)
		}
	})
}

// queueEngine is an engine that serves requests in arrival order, one at a time.
type queueEngine struct{ busyUntil time.Duration }

// replay offers each tier as much work as the engine can do, in turn, and returns
// the share of the requests that were served within their objective, by tier.
func replay(policy Policy, tiers int) []float64 {
	const (
		service   = 40 * time.Millisecond
		objective = 400 * time.Millisecond
		rounds    = 2000
	)
	var engine queueEngine
	served := make([]float64, tiers)
	for round := range rounds {
		now := time.Duration(round) * service
		for step := range tiers {
			tier := tiers - 1 - step // the least important ones come first
			wait := max(0, engine.busyUntil-now)
			if policy.Refuses(Request{Tier: tier, Objective: objective}, wait) {
				continue
			}
			engine.busyUntil = now + wait + service
			if wait+service <= objective {
				served[tier] += 1.0 / rounds
			}
		}
	}
	return served
}

// Replays a demand of three times what the engine serves, a third of it for each
// tier. Guards against all tiers sharing the loss, as they do if they wait alike.
func TestMostImportantTierIsServedUnderOverload(t *testing.T) {
	alike, ordered := replay(NewPolicy(nil), 3), replay(NewPolicy(byTier), 3)
	if ordered[0] < 0.95 {
		t.Errorf("share of the first tier served: %.2f, want nearly all; alike: %.2f", ordered[0], alike[0])
	}
	if alike[0] > 0.5 {
		t.Errorf("the load shows nothing: the first tier is served %.2f without an order of tiers", alike[0])
	}
	if ordered[1] > ordered[0] || ordered[2] > ordered[1] {
		t.Errorf("shares served by tier: %.2f, want them in order", ordered)
	}
}
