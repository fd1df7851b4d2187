// Package core holds the types that every part of kingcupcourse speaks in.
// They carry no encoding, clock or I/O.
package core

import "time"

// Tier is the importance of a request. Tier 1 is the most important; under
// overload a higher number is shed first.
type Tier int

// Kind tells what a pool's endpoints are.
type Kind string

const (
	// KindModel is a pool of model engines that generate tokens.
	KindModel Kind = "model"
	// KindService is a pool of plain services.
	KindService Kind = "service"
)

// Region is a group of availability zones that are close to each other.
type Region string

// AvailabilityZone is a failure domain inside a region.
type AvailabilityZone string

// Host is an entry host: a machine that runs one process of each role.
type Host struct {
	Name             string           `json:"name"`
	AvailabilityZone AvailabilityZone `json:"availability_zone"`
}

// ClientAccount is who a request is made for.
type ClientAccount struct {
	Name string
	// MaxTier is the most important tier that the account may ask for.
	MaxTier Tier
	// Weight is the account's share among accounts of one tier.
	Weight float64
	// HomeRegion is where the account's run-once requests are journaled.
	HomeRegion Region
}

// Version names the software or weights that an endpoint runs.
type Version string

// EndpointVersion is one version in one pool.
type EndpointVersion struct {
	Pool    string
	Version Version
}

// Endpoint is one back end: a model engine or a plain service.
type Endpoint struct {
	Name             string
	Pool             string
	Address          string
	AvailabilityZone AvailabilityZone
	Version          Version
	// Slots is how many requests the endpoint runs at once.
	Slots int
	// PrefillRate and DecodeRate are first guesses in tokens a second, used
	// until the speed has been learned. DecodeRate is per running request.
	PrefillRate, DecodeRate float64
}

// Pool is a set of endpoints that can serve the same requests.
type Pool struct {
	Name      string
	Kind      Kind
	Endpoints []Endpoint
}

// Request is what the decisions need to know of a caller's request.
type Request struct {
	ID      string
	Account string
	Tier    Tier
	Pool    string
	Route   string
	// Key is the idempotency key, empty for a request that may be repeated.
	Key string
	// Fingerprint names the account and body, to recognise a resend.
	Fingerprint string
	// PromptTokens and MaxOutputTokens are the estimated cost. Both are zero
	// for a plain service.
	PromptTokens, MaxOutputTokens int
	// PrefixBlocks are the cache blocks that the prompt begins with, the
	// shortest first.
	PrefixBlocks []string
	// Exclude lists endpoints that this request must not be placed on again.
	Exclude  []string
	Deadline time.Time
}

// Grant is the permission to dispatch one attempt to one endpoint.
type Grant struct {
	Attempt  string  `json:"attempt"`
	Endpoint string  `json:"endpoint"`
	Address  string  `json:"address"`
	Version  Version `json:"version"`
}

// Disposition tells a caller what is known about the run of its request.
type Disposition string

const (
	// NotRun means that the request provably did not and will not run.
	NotRun Disposition = "not_run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Disposition = "outcome_unknown"
	// AlreadyRun means that an earlier request with the key has run.
	AlreadyRun Disposition = "already_run"
)

// Reason is the typed cause of a refusal.
type Reason string

// The reasons for which a request is refused.
const (
	ReasonUnauthenticated    Reason = "unauthenticated"
	ReasonForbidden          Reason = "forbidden"
	ReasonBadRequest         Reason = "bad_request"
	ReasonTooLarge           Reason = "too_large"
	ReasonHeaderTooLarge     Reason = "header_too_large"
	ReasonUnknownRoute       Reason = "unknown_route"
	ReasonKeyRequired        Reason = "idempotency_key_required"
	ReasonKeyExpired         Reason = "idempotency_key_expired"
	ReasonKeyReused          Reason = "idempotency_key_reused"
	ReasonInProgress         Reason = "in_progress"
	ReasonDeadlinePassed     Reason = "deadline_passed"
	ReasonDeadlineTooSoon    Reason = "deadline_too_soon"
	ReasonShed               Reason = "shed"
	ReasonQueueFull          Reason = "queue_full"
	ReasonRateLimited        Reason = "rate_limited"
	ReasonNoEndpoint         Reason = "no_endpoint"
	ReasonNoScheduler        Reason = "no_scheduler"
	ReasonNotOwner           Reason = "not_owner"
	ReasonPoison             Reason = "poison"
	ReasonJournalUnavailable Reason = "journal_unavailable"
	ReasonDraining           Reason = "draining"
	ReasonNotReady           Reason = "not_ready"
	ReasonEndpointFailed     Reason = "endpoint_failed"
	ReasonAnswerIncomplete   Reason = "answer_incomplete"
	ReasonCallerGone         Reason = "caller_gone"
	ReasonAlreadyRun         Reason = "already_run"
)

// Refusal is the typed answer to a request that got no result.
type Refusal struct {
	Disposition Disposition `json:"disposition"`
	Reason      Reason      `json:"reason"`
	Detail      string      `json:"detail,omitempty"`
	// Retry tells whether sending the request again can help.
	Retry bool `json:"retry"`
	// RetryAfter is how long to wait before that, zero for no hint.
	RetryAfter time.Duration `json:"-"`
}

// Error implements error.
func (r *Refusal) Error() string {
	return string(r.Disposition) + ": " + string(r.Reason) + ": " + r.Detail
}

// Refuse returns a refusal of a request that did not run.
func Refuse(reason Reason, detail string) *Refusal {
	return &Refusal{Disposition: NotRun, Reason: reason, Detail: detail}
}

// RefuseWithRetry is Refuse for a request that may be sent again after a wait.
func RefuseWithRetry(reason Reason, detail string, wait time.Duration) *Refusal {
	return &Refusal{Disposition: NotRun, Reason: reason, Detail: detail, Retry: true, RetryAfter: wait}
}

// Result is how a dispatched attempt ended.
type Result string

// The results of an attempt.
const (
	ResultOK            Result = "ok"
	ResultNotDispatched Result = "not_dispatched" // no byte has left; releases the key
	ResultRejected      Result = "rejected"       // the endpoint said that it did not start it
	ResultFailed        Result = "failed"         // the endpoint answered with an error
	ResultLost          Result = "lost"           // the connection or endpoint died; may have run
	ResultCancelled     Result = "cancelled"      // given up by the caller or past its deadline
)

// Outcome is what an entry learned from one attempt.
type Outcome struct {
	RequestID string  `json:"request_id"`
	Attempt   string  `json:"attempt"`
	Pool      string  `json:"pool"`
	Route     string  `json:"route"`
	Account   string  `json:"account"`
	Endpoint  string  `json:"endpoint"`
	Version   Version `json:"version"`
	Key       string  `json:"key,omitempty"`
	Result    Result  `json:"result"`
	// Status is the endpoint's HTTP status, zero if it gave none.
	Status       int `json:"status,omitempty"`
	PromptTokens int `json:"prompt_tokens,omitempty"`
	OutputTokens int `json:"output_tokens,omitempty"`
	// FirstTokenMS, BetweenTokensMS and TotalMS are in milliseconds from
	// the dispatch; BetweenTokensMS is the mean.
	FirstTokenMS    float64 `json:"first_token_ms,omitempty"`
	BetweenTokensMS float64 `json:"between_tokens_ms,omitempty"`
	TotalMS         float64 `json:"total_ms,omitempty"`
	// EndpointDied tells that the endpoint died under the request, whose Fingerprint
	// is then set. Fingerprint is also set for a good result.
	EndpointDied bool   `json:"died,omitempty"`
	Fingerprint  string `json:"fingerprint,omitempty"`
	// EndpointDraining tells that the endpoint refused because it is leaving.
	EndpointDraining bool `json:"leaving,omitempty"`
	// ResponseBody is a small answer body kept for a resend of the key.
	ResponseBody []byte `json:"answer,omitempty"`
	// ContentType belongs to Answer.
	ContentType string `json:"content_type,omitempty"`
}

// PriorOutcome is the recorded end of an earlier attempt with the same key.
type PriorOutcome struct {
	Status       int    `json:"status"`
	ResponseBody []byte `json:"answer,omitempty"`
	ContentType  string `json:"content_type,omitempty"`
	// Complete tells whether Answer is the whole answer; else only the fact
	// that it ran is known.
	Complete bool `json:"whole"`
}
