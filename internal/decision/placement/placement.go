// Package placement decides which endpoint a request is placed on. A policy
// is a list of filters, a scorer and a picker, each a small type.
package placement

import (
	"time"

	"kingcupcourse/internal/core"
)

// Candidate is one endpoint as the owner of the shard sees it.
type Candidate struct {
	Endpoint core.Endpoint
	// Version is the version that the endpoint runs now.
	Version core.Version
	// Leaving, NotReady and BadVersion keep new work away.
	Leaving, NotReady, BadVersion bool
	// NoTraffic tells that the version may get no traffic at all: its move
	// has not begun, was taken back, or has left it behind.
	NoTraffic bool
	// Running is how many attempts the owner counts on the endpoint.
	Running int
	// Untracked is how many more the load report shows that the owner did not
	// place.
	Untracked int
	// OutstandingTokens is the estimated tokens still to be worked off.
	OutstandingTokens int
	// PendingPrefill is the time the endpoint needs for prompts that were
	// placed and have not given a first token yet.
	PendingPrefill time.Duration
	// CachedTokens is how much of the request's prompt is probably cached.
	CachedTokens int
	// RunTime is how long the request would take on the endpoint, prefill
	// of the uncached prompt included.
	RunTime time.Duration
	// MinRunTime is how long it would take at the least, MaxRunTime how long it
	// would hardly exceed.
	MinRunTime, MaxRunTime time.Duration
	// Prefill is the part of RunTime that is prefill.
	Prefill time.Duration
	// SameZone tells that the endpoint is in the availability zone of the entry
	// host that asks.
	SameZone bool
	// AtVersionShare tells that the version has all the traffic that it may
	// have for now.
	AtVersionShare bool
	// Preference tells whether the trial of an unproved version gains by the
	// request.
	Preference Preference
}

// Preference puts a candidate before or after all others.
type Preference int

// The preferences.
const (
	NoPreference Preference = iota
	Preferred
	Avoided
)

// TimeToFinish is the expected time from now to the end of the request.
func (c *Candidate) TimeToFinish() time.Duration { return c.PendingPrefill + c.RunTime }

// Query is what a decision needs to know of the request.
type Query struct {
	Request *core.Request
	Now     time.Time
	// RequireCertain asks for endpoints that will almost surely finish in time.
	RequireCertain bool
}

// TimeLeft is the time to the deadline.
func (n *Query) TimeLeft() time.Duration { return n.Request.Deadline.Sub(n.Now) }

// Filter takes candidates out.
type Filter interface {
	// Name is what logs and metrics call the filter.
	Name() string
	// Pass tells whether the candidate may be chosen.
	Pass(c *Candidate, n *Query) bool
}

// Scorer rates candidates that passed the filters; less is better.
type Scorer interface {
	Name() string
	Score(c *Candidate, n *Query) float64
}

// Picker chooses among the candidates by their scores.
type Picker interface {
	// Pick returns an index into the candidates. There is at least one.
	Pick(candidates []Candidate, scores []float64) int
}

// Decision is the result of one placement.
type Decision struct {
	// Chosen is the candidate, nil if none passed.
	Chosen *Candidate
	// Score is the chosen candidate's score.
	Score float64
	// Passed is how many candidates passed all filters.
	Passed int
	// Rejected counts the candidates by the first filter they failed, in
	// the order of the policy's filters.
	Rejected []int
}

// Policy is a way to place requests.
type Policy struct {
	Name    string
	Filters []Filter
	Scorer  Scorer
	Picker  Picker

	passed []Candidate
	scores []float64
	counts []int
}

// Place chooses an endpoint for the request. The result is valid until the
// next call.
func (p *Policy) Place(candidates []Candidate, need *Query) Decision {
	p.passed, p.scores = p.passed[:0], p.scores[:0]
	p.counts = append(p.counts[:0], make([]int, len(p.Filters))...)
	for i := range candidates {
		if failed := p.firstFailed(&candidates[i], need); failed >= 0 {
			p.counts[failed]++
			continue
		}
		p.passed = append(p.passed, candidates[i])
		p.scores = append(p.scores, p.Scorer.Score(&candidates[i], need))
	}
	decision := Decision{Passed: len(p.passed), Rejected: p.counts}
	if len(p.passed) > 0 {
		at := p.Picker.Pick(p.passed, p.scores)
		decision.Chosen, decision.Score = &p.passed[at], p.scores[at]
	}
	return decision
}

func (p *Policy) firstFailed(c *Candidate, need *Query) int {
	for i, filter := range p.Filters {
		if !filter.Pass(c, need) {
			return i
		}
	}
	return -1
}

// TopRejectingFilter returns the name of the filter that rejected most candidates, for
// logs and refusals.
func (p *Policy) TopRejectingFilter(d Decision) string {
	name, most := "no_candidates", 0
	for i, count := range d.Rejected {
		if count > most {
			name, most = p.Filters[i].Name(), count
		}
	}
	return name
}
