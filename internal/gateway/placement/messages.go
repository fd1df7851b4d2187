// Package placement implements the duty that chooses endpoints. On every host it
// counts the host's own running attempts. The endpoints of a service are divided
// into shards, each with a host as its coordinator, which counts the attempts of
// all hosts on them. A host asks the coordinator of its home shard for an endpoint,
// and that of another shard if the first has no room. A host that reaches neither
// chooses by its own count.
package placement

import (
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/decision/spill"
	"kingcupcourse/internal/ring"
)

// Request is a request to place an attempt.
type Request struct {
	// Attempt is the id of the attempt, Host the host that dispatches it.
	Attempt string `json:"attempt"`
	Host    string `json:"host"`
	Service string `json:"service"`
	Route   string `json:"route,omitempty"`
	// PromptTokens and OutputTokens are the expected cost, zero for a plain
	// service.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	OutputTokens int `json:"output_tokens,omitempty"`
	// MaxOutputTokens is the limit of the output length, zero if it is unknown.
	MaxOutputTokens int `json:"output_bound,omitempty"`
	// Account is the client account, empty on a public route, and AccountWeight its
	// weight against other accounts, zero if it has no limit.
	Account       string  `json:"account,omitempty"`
	AccountWeight float64 `json:"account_weight,omitempty"`
	// Tier is 0 for the most important requests.
	Tier int `json:"tier,omitempty"`
	// ObjectiveMS is the time to the first part of the response within which it
	// has its full value, in milliseconds.
	ObjectiveMS int64 `json:"objective_ms,omitempty"`
	// Exclude lists endpoints that must not be chosen again.
	Exclude []string `json:"exclude,omitempty"`
	// AllowedRegions are the only regions in which the request may be processed;
	// empty for all.
	AllowedRegions []core.Region `json:"allowed_regions,omitempty"`
	// EvacuatedZones are the availability zones that the host knows as being
	// emptied.
	EvacuatedZones []core.AvailabilityZone `json:"evacuated_zones,omitempty"`
	// RemainingMS is the time to the deadline, in milliseconds.
	RemainingMS int64 `json:"left_ms"`
	// waitPart is the part that is due to the request of the wait beyond that of the
	// next tier, zero for all of it.
	waitPart float64
	// Shard is the shard of the service in which to place the attempt, from 1, or
	// 0 for the whole service.
	Shard int `json:"shard,omitempty"`
	// BodyBytes is the size of the request. Only its own host needs it.
	BodyBytes int `json:"-"`
}

// outputMarginFactor is the safety factor for estimated output lengths: 19 of 20
// outputs are no longer than the caller's estimate times this factor.
const outputMarginFactor = 2

// conservativeOutput returns an output length that is rarely exceeded, in tokens.
func (r *Request) conservativeOutput() int {
	estimate := outputMarginFactor * r.OutputTokens
	if r.MaxOutputTokens > 0 {
		estimate = min(estimate, r.MaxOutputTokens)
	}
	return estimate
}

// Reasons of a refusal for want of room.
const (
	blockedByOverload = "overload"
	// blockedByShare: the account uses more than its share, and a request of another
	// account would have been placed.
	blockedByShare = "account_share"
)

// Choice is the response to a Request.
type Choice struct {
	Endpoint string `json:"endpoint,omitempty"`
	// Running is the number of attempts that were on the endpoint before.
	Running int `json:"running"`
	// ExpectedMS is the expected time to the first token, or to the response of a
	// plain service, in milliseconds.
	ExpectedMS float64 `json:"expected_ms"`
	// BlockedReason explains why no endpoint was chosen.
	BlockedReason string `json:"blocked,omitempty"`
	// Overload reports that the endpoints are too busy to serve the request in
	// time. It may be retried after RetryAfterMS, in milliseconds.
	Overload     bool  `json:"overload,omitempty"`
	RetryAfterMS int64 `json:"retry_ms,omitempty"`
	// ColdGrant reports that the request counts towards the rate of a cold endpoint.
	ColdGrant bool `json:"cold,omitempty"`
	// Rooms is the room of the shard, and what its coordinator knows of others.
	Rooms []ShardRoom `json:"rooms,omitempty"`
}

// ShardRoom is the room of a shard of the service.
type ShardRoom struct {
	// Shard is the number of the shard, from 1.
	Shard int `json:"shard"`
	// Free is the number of free slots of Slots.
	Free  int `json:"free"`
	Slots int `json:"slots"`
	// WaitMS is the shortest forecast wait for the prefill of a new request, AgeMS
	// the time since the count, in milliseconds.
	WaitMS float64 `json:"wait_ms,omitempty"`
	AgeMS  int64   `json:"age_ms,omitempty"`
}

// Update reports the progress or the end of an attempt.
type Update struct {
	Attempt string `json:"attempt"`
	// Result is empty while the attempt runs.
	Result core.Result `json:"result,omitempty"`
	// FirstPartMS is the time from the dispatch to the first part of the
	// response, TotalMS the time to its end, in milliseconds.
	FirstPartMS float64 `json:"first_ms,omitempty"`
	TotalMS     float64 `json:"total_ms,omitempty"`
	// Events is the number of events in the response.
	Events int `json:"events,omitempty"`
	// LeavingIncarnation is the start time, in Unix milliseconds, of the endpoint's
	// incarnation if that has said that it is leaving.
	LeavingIncarnation int64 `json:"leaving_incarnation,omitempty"`
}

// betweenTokensMS returns the mean time between two tokens after the first event,
// in milliseconds, or zero if the response does not show it.
func (u *Update) betweenTokensMS(tokensPerEvent int) float64 {
	laterTokens := (u.Events - 1) * tokensPerEvent
	if laterTokens <= 0 || u.FirstPartMS <= 0 {
		return 0
	}
	return (u.TotalMS - u.FirstPartMS) / float64(laterTokens)
}

// Running is an entry of a host's list of running attempts.
type Running struct {
	Request
	Endpoint string `json:"endpoint"`
	// Started reports that the first part of the response has arrived.
	Started bool `json:"begun,omitempty"`
}

// Updates is a message of updates from a host to the coordinator.
type Updates struct {
	Host    string   `json:"host"`
	Updates []Update `json:"updates,omitempty"`
	// Running lists all attempts of the host if Full is set.
	Running []Running `json:"running,omitempty"`
	Full    bool      `json:"full,omitempty"`
	// Failed lists the endpoints that may be cold after a failure that the host saw,
	// if Full is set. A new coordinator learns them from it.
	Failed []FailedEndpoint `json:"failed,omitempty"`
}

// FailedEndpoint is an endpoint that failed some milliseconds ago.
type FailedEndpoint struct {
	Endpoint string `json:"endpoint"`
	AgoMS    int64  `json:"ago_ms"`
}

// UpdatesAnswer is the response to Updates.
type UpdatesAnswer struct {
	// Rooms holds the room of the shards of the listed attempts, by service.
	Rooms map[string][]ShardRoom `json:"rooms,omitempty"`
}

// Placed is the endpoint chosen for an attempt, or the refusal if there is none.
type Placed struct {
	Endpoint catalog.Endpoint
	Choice   Choice
	Refusal  *core.Refusal
	// ByCoordinator reports that the coordinator made the choice.
	ByCoordinator bool
	// LeftZone is why the endpoint is in another availability zone, empty if it is
	// in that of the host.
	LeftZone spill.Cause
}

// Message is a message to the duty.
type Message interface{ handle(d *Duty, now time.Time) }

// Choose asks for an endpoint for an attempt of this host or another.
type Choose struct {
	ring.Reply[Choice]
	Request Request
	// received is when another host's request arrived, zero for a request of
	// this host.
	received time.Time
}

// Confirm counts an attempt of this host on the endpoint that was chosen for it,
// if this host also considers the endpoint usable.
type Confirm struct {
	ring.Reply[Confirmed]
	Request  Request
	Endpoint string
	// ColdGrant is set if the endpoint may be cold.
	ColdGrant bool
}

// Confirmed is the response to Confirm: the endpoint as this host knows it.
type Confirmed struct {
	Endpoint catalog.Endpoint
	OK       bool
}

// ApplyUpdates delivers the updates on a host's attempts.
type ApplyUpdates struct {
	ring.Reply[UpdatesAnswer]
	Updates Updates
}
