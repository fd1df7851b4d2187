package placement

import (
	"fmt"
	"testing"
	"time"

	"kingcupcourse/internal/core"
)

var epoch = time.UnixMilli(1_700_000_000_000)

func candidate(name string, change func(*Candidate)) Candidate {
	c := Candidate{Endpoint: core.Endpoint{Name: name, Slots: 4}, Version: "v1",
		RunTime: time.Second, MinRunTime: time.Second, MaxRunTime: time.Second, Prefill: 100 * time.Millisecond, SameZone: true}
	if change != nil {
		change(&c)
	}
	return c
}

func newQuery(exclude ...string) *Query {
	return &Query{Now: epoch, Request: &core.Request{Deadline: epoch.Add(10 * time.Second), Exclude: exclude}}
}

func TestFilters(t *testing.T) {
	for _, test := range []struct {
		filter string
		change func(*Candidate)
	}{
		{"leaving", func(c *Candidate) { c.Draining = true }},
		{"not_ready", func(c *Candidate) { c.NotReady = true }},
		{"bad_version", func(c *Candidate) { c.BadVersion = true }},
		{"version_share", func(c *Candidate) { c.AtVersionShare = true }},
		{"excluded", func(c *Candidate) { c.Endpoint.Name = "excluded" }},
		{"no_free_slot", func(c *Candidate) { c.Running = 4 }},
		{"no_free_slot", func(c *Candidate) { c.Running, c.Untracked = 3, 1 }},
		{"deadline", func(c *Candidate) { c.MinRunTime = 11 * time.Second }},
		{"deadline", func(c *Candidate) { c.PendingPrefill = 9500 * time.Millisecond }},
	} {
		policy, _ := NewPolicy(PolicyKingcup)
		decision := policy.Place([]Candidate{candidate("e", test.change)}, newQuery("excluded"))
		if decision.Chosen != nil || policy.TopRejectingFilter(decision) != test.filter {
			t.Errorf("%s: chosen %v, most rejected by %s", test.filter, decision.Chosen, policy.TopRejectingFilter(decision))
		}
	}
}

func TestRequireCertainUsesTheMaximumRunTime(t *testing.T) {
	policy, _ := NewPolicy(PolicyKingcup)
	uncertain := []Candidate{candidate("e", func(c *Candidate) { c.MaxRunTime = 11 * time.Second })}
	query := newQuery()
	if policy.Place(uncertain, query).Chosen == nil {
		t.Error("rejected although it may finish in time")
	}
	query.RequireCertain = true
	if policy.Place(uncertain, query).Chosen != nil {
		t.Error("chosen although it may finish too late")
	}
}

func TestPolicyChoices(t *testing.T) {
	fast := candidate("fast", func(c *Candidate) { c.OutstandingTokens, c.Running = 900, 3 })
	slow := candidate("slow", func(c *Candidate) { c.RunTime = 5 * time.Second })
	warm := candidate("warm", func(c *Candidate) {
		c.CachedTokens, c.OutstandingTokens, c.Running, c.RunTime = 512, 1000, 2, 2*time.Second
	})
	far := candidate("a-far", func(c *Candidate) { c.SameZone, c.OutstandingTokens, c.Running = false, 900, 3 })
	all := []Candidate{slow, far, warm, fast}
	for _, test := range []struct {
		policy string
		want   []string
	}{
		{PolicyKingcup, []string{"fast"}},
		{PolicyLeastOutstanding, []string{"slow"}},
		{PolicyPrefixAffinity, []string{"warm"}},
		{PolicyRoundRobin, []string{"a-far", "fast", "slow", "warm", "a-far"}},
	} {
		policy, ok := NewPolicy(test.policy)
		if !ok {
			t.Fatalf("no policy %s", test.policy)
		}
		for _, want := range test.want {
			if got := policy.Place(all, newQuery()).Chosen.Endpoint.Name; got != want {
				t.Errorf("%s chose %s, want %s", test.policy, got, want)
			}
		}
	}
	if _, ok := NewPolicy("none"); ok {
		t.Error("an unknown policy was accepted")
	}
}

func TestShortestRunTimeIncludesBusyEndpoints(t *testing.T) {
	busy := candidate("busy", func(c *Candidate) { c.Running, c.MinRunTime = 4, time.Millisecond })
	bad := candidate("bad", func(c *Candidate) { c.BadVersion, c.MinRunTime = true, time.Microsecond })
	best, ok := ShortestRunTime([]Candidate{candidate("e", nil), busy, bad}, newQuery())
	if !ok || best != time.Millisecond {
		t.Fatalf("got %v, %v", best, ok)
	}
}

func BenchmarkPlaceAmong20(b *testing.B) {
	policy, _ := NewPolicy(PolicyKingcup)
	candidates := make([]Candidate, 20)
	for i := range candidates {
		candidates[i] = candidate(fmt.Sprint("e", i), func(c *Candidate) { c.Running = i % 5 })
	}
	query := newQuery("e3")
	b.ReportAllocs()
	for b.Loop() {
		policy.Place(candidates, query)
	}
}
