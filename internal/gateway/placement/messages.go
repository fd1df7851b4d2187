// Package placement is the duty that chooses endpoints. On every host it
// counts what the host has running; on the keeper, to which the hosts turn with
// their requests, it counts what all of them have running, so that one order
// holds for the whole fleet. A host that does not reach the keeper chooses by
// its own count.
package placement

import (
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/ring"
)

// Request is what placing an attempt depends on.
type Request struct {
	// Attempt names the attempt; Host is where it runs from.
	Attempt string `json:"attempt"`
	Host    string `json:"host"`
	Service string `json:"service"`
	Route   string `json:"route,omitempty"`
	// PromptTokens and OutputTokens are the expected work, zero for a plain
	// service.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	OutputTokens int `json:"output_tokens,omitempty"`
	// MaxOutputTokens is the most tokens that the answer may have, zero if that is
	// not known.
	MaxOutputTokens int `json:"output_bound,omitempty"`
	// ObjectiveMS is the time to the first part of the answer that gives it its
	// full value, in milliseconds.
	ObjectiveMS int64 `json:"objective_ms,omitempty"`
	// Exclude lists endpoints that must not be chosen again.
	Exclude []string `json:"exclude,omitempty"`
	// RemainingMS is the time to the deadline, in milliseconds.
	RemainingMS int64 `json:"left_ms"`
	// Coordinator is the address of the keeper, empty for this host.
	Coordinator string `json:"-"`
}

// sureFactor is by how much an answer is seldom longer than expected: 19 of 20
// callers' estimates were not short by more than that on the sample days.
const sureFactor = 2

// sureOutput is the length that the answer will hardly exceed, in tokens.
func (a *Request) sureOutput() int {
	sure := sureFactor * a.OutputTokens
	if a.MaxOutputTokens > 0 {
		sure = min(sure, a.MaxOutputTokens)
	}
	return sure
}

// Choice is the answer to an Ask.
type Choice struct {
	Endpoint string `json:"endpoint,omitempty"`
	// Running is what was counted on the endpoint before.
	Running int `json:"running"`
	// ExpectedMS is when the first token, or the answer of a plain service, is
	// expected, in milliseconds.
	ExpectedMS float64 `json:"expected_ms"`
	// BlockedReason says why there is no endpoint.
	BlockedReason string `json:"blocked,omitempty"`
	// Overload tells that the endpoints have too much work for the request to
	// be served in time. It may come back after RetryMS, in milliseconds.
	Overload     bool  `json:"overload,omitempty"`
	RetryAfterMS int64 `json:"retry_ms,omitempty"`
}

// Update tells how an attempt goes on.
type Update struct {
	Attempt string `json:"attempt"`
	// Result is empty while the attempt runs.
	Result core.Result `json:"result,omitempty"`
	// FirstPartMS is the time from the dispatch to the first part of the answer,
	// TotalMS that to its end, in milliseconds.
	FirstPartMS float64 `json:"first_ms,omitempty"`
	TotalMS     float64 `json:"total_ms,omitempty"`
	// Events is how many events the answer had.
	Events int `json:"events,omitempty"`
}

// betweenTokensMS is the mean time between two tokens after the first event, in
// milliseconds, zero if the answer does not tell.
func (u *Update) betweenTokensMS(eventTokens int) float64 {
	later := (u.Events - 1) * eventTokens
	if later <= 0 || u.FirstPartMS <= 0 {
		return 0
	}
	return (u.TotalMS - u.FirstPartMS) / float64(later)
}

// Running is an attempt as its host lists it.
type Running struct {
	Request
	Endpoint string `json:"endpoint"`
	// Started tells that the first part of the answer has come.
	Started bool `json:"begun,omitempty"`
}

// Updates is what a host tells the keeper.
type Updates struct {
	Host    string   `json:"host"`
	Updates []Update `json:"updates,omitempty"`
	// Running lists all attempts of the host, if Full.
	Running []Running `json:"running,omitempty"`
	Full    bool      `json:"full,omitempty"`
}

// Placed is an endpoint for an attempt, or why there is none.
type Placed struct {
	Endpoint catalog.Endpoint
	Choice   Choice
	Refusal  *core.Refusal
	// ByCoordinator tells that the keeper has chosen.
	ByCoordinator bool
}

// Message is a message to the duty.
type Message interface{ handle(d *Duty, now time.Time) }

// Choose asks for an endpoint, for this host or another.
type Choose struct {
	ring.Reply[Choice]
	Request Request
}

// Confirm counts an attempt of this host on the endpoint that the keeper has
// chosen, if this host believes in it.
type Confirm struct {
	ring.Reply[Confirmed]
	Request  Request
	Endpoint string
}

// Confirmed is the endpoint as this host knows it.
type Confirmed struct {
	Endpoint catalog.Endpoint
	OK       bool
}

// ApplyUpdates hands on what became of a host's attempts.
type ApplyUpdates struct{ Updates Updates }

// ListRunning asks for the attempts of this host.
type ListRunning struct{ ring.Reply[[]Running] }
