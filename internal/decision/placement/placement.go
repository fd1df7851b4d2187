// Package placement decides which endpoint a request is placed on. A policy
// is a list of filters, a scorer and a picker, each a small type.
package placement

import (
	"time"

	"kingcupcourse/internal/core"
)

// Candidate is an endpoint as the owner of the shard sees it.
type Candidate struct {
	Endpoint core.Endpoint
	// Version is the version that the endpoint currently runs.
	Version core.Version
	// Draining, NotReady and BadVersion exclude the endpoint from new work.
	Draining, NotReady, BadVersion bool
	// NoTraffic is set if the version may get no traffic at all: its move has
	// not begun or was reverted, or a finished move has replaced it.
	NoTraffic bool
	// Evacuated is set if the endpoint's availability zone is being emptied,
	// RegionNotAllowed if the request may not be processed in its region.
	Evacuated, RegionNotAllowed bool
	// Running is how many attempts the owner tracks on the endpoint.
	Running int
	// Untracked is how many more requests the load report shows, placed by
	// others.
	Untracked int
	// OutstandingTokens is the estimated number of tokens still to be
	// processed.
	OutstandingTokens int
	// PendingPrefill is the time that the endpoint needs for the prompts that
	// were placed and have not produced a first token yet.
	PendingPrefill time.Duration
	// CachedTokens is how many tokens of the request's prompt are probably
	// cached.
	CachedTokens int
	// RunTime is the expected time of the request on the endpoint, including
	// the prefill of the uncached part of the prompt.
	RunTime time.Duration
	// MinRunTime is a lower bound of that time. MaxRunTime is a bound that is
	// very rarely exceeded.
	MinRunTime, MaxRunTime time.Duration
	// Prefill is the part of RunTime in which the prompt occupies the engine,
	// FirstToken the part until the first token.
	Prefill, FirstToken time.Duration
	// SameZone is set if the endpoint is in the availability zone of the entry
	// host that asks.
	SameZone bool
	// AtVersionShare is set if the version has all the traffic that it may
	// have at present.
	AtVersionShare bool
	// AtColdRate is set if the endpoint is cold, or may be, and may get no more
	// requests at present.
	AtColdRate bool
	// Preference is whether the request gives evidence that the trial of an
	// unproved version needs.
	Preference Preference
}

// Preference ranks a candidate before or after all others.
type Preference int

// Values of Preference.
const (
	NoPreference Preference = iota
	Preferred
	Avoided
)

// TimeToFinish returns the expected time from now to the end of the request.
func (c *Candidate) TimeToFinish() time.Duration { return c.PendingPrefill + c.RunTime }

// Query is a request to be placed, with the conditions of the placement.
type Query struct {
	Request *core.Request
	Now     time.Time
	// RequireCertain accepts only endpoints that will almost certainly finish
	// the request in time.
	RequireCertain bool
}

// TimeLeft returns the time to the deadline.
func (q *Query) TimeLeft() time.Duration { return q.Request.Deadline.Sub(q.Now) }

// Filter rejects candidates that may not be chosen.
type Filter interface {
	// Name is the name of the filter in logs and metrics.
	Name() string
	// Pass reports whether the candidate may be chosen.
	Pass(c *Candidate, q *Query) bool
}

// Scorer rates the candidates that passed the filters; lower is better.
type Scorer interface {
	Name() string
	Score(c *Candidate, q *Query) float64
}

// Picker chooses one of the candidates by their scores.
type Picker interface {
	// Pick returns the index of a candidate. There is at least one.
	Pick(candidates []Candidate, scores []float64) int
}

// Decision is the result of one placement.
type Decision struct {
	// Chosen is the chosen candidate, nil if none passed.
	Chosen *Candidate
	// Score is the chosen candidate's score.
	Score float64
	// Passed is how many candidates passed all filters.
	Passed int
	// Rejected counts the candidates by the first filter that rejected them,
	// in the order of the policy's filters.
	Rejected []int
}

// Policy is a combination of filters, a scorer and a picker.
type Policy struct {
	Name    string
	Filters []Filter
	Scorer  Scorer
	Picker  Picker

	passed   []Candidate
	scores   []float64
	rejected []int
}

// Place chooses an endpoint for the request. The result is valid until the
// next call.
func (p *Policy) Place(candidates []Candidate, query *Query) Decision {
	p.passed, p.scores = p.passed[:0], p.scores[:0]
	p.rejected = append(p.rejected[:0], make([]int, len(p.Filters))...)
	for i := range candidates {
		if failed := p.firstFailed(&candidates[i], query); failed >= 0 {
			p.rejected[failed]++
			continue
		}
		p.passed = append(p.passed, candidates[i])
		p.scores = append(p.scores, p.Scorer.Score(&candidates[i], query))
	}
	decision := Decision{Passed: len(p.passed), Rejected: p.rejected}
	if len(p.passed) > 0 {
		at := p.Picker.Pick(p.passed, p.scores)
		decision.Chosen, decision.Score = &p.passed[at], p.scores[at]
	}
	return decision
}

func (p *Policy) firstFailed(c *Candidate, query *Query) int {
	for i, filter := range p.Filters {
		if !filter.Pass(c, query) {
			return i
		}
	}
	return -1
}

// TopRejectingFilter returns the name of the filter that rejected the most
// candidates, for logs and refusals.
func (p *Policy) TopRejectingFilter(d Decision) string {
	name, most := "no_candidates", 0
	for i, count := range d.Rejected {
		if count > most {
			name, most = p.Filters[i].Name(), count
		}
	}
	return name
}
