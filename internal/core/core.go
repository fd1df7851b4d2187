// Package core defines the domain types that all packages of kingcupcourse
// share. They depend on no encoding, clock or I/O.
package core

import "time"

// Tier is the importance of a request. Tier 1 is the most important; under
// overload, requests of the highest tier number are shed first.
type Tier int

// Kind is the type of a pool's endpoints.
type Kind string

const (
	// KindModel is a model engine, which generates tokens.
	KindModel Kind = "model"
	// KindService is a plain service.
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

// ClientAccount is the account on whose behalf a request is made.
type ClientAccount struct {
	Name string
	// MaxTier is the most important tier that the account may ask for.
	MaxTier Tier
	// Weight is the account's relative share among accounts of the same tier.
	Weight float64
	// HomeRegion is where the account's run-once requests are journaled.
	HomeRegion Region
}

// Version names the software or weights that an endpoint runs.
type Version string

// EndpointVersion identifies a version within a pool.
type EndpointVersion struct {
	Pool    string
	Version Version
}

// Endpoint is one backend instance: a model engine or a plain service.
type Endpoint struct {
	Name             string
	Pool             string
	Address          string
	AvailabilityZone AvailabilityZone
	Version          Version
	// Slots is the number of requests the endpoint runs concurrently.
	Slots int
	// PrefillRate and DecodeRate are initial estimates in tokens per second,
	// used until the speed has been learned. DecodeRate is per running request.
	PrefillRate, DecodeRate float64
}

// Pool is a set of endpoints that can serve the same requests.
type Pool struct {
	Name      string
	Kind      Kind
	Endpoints []Endpoint
}

// Request holds the properties of a caller's request that scheduling decisions
// depend on.
type Request struct {
	ID      string
	Account string
	Tier    Tier
	Pool    string
	Route   string
	// Key is the idempotency key, empty for a request that may run repeatedly.
	Key string
	// Fingerprint identifies the account and body, to recognise a resend.
	Fingerprint string
	// PromptTokens and MaxOutputTokens are the estimated cost. Both are zero
	// for a plain service.
	PromptTokens, MaxOutputTokens int
	// PrefixBlocks are the cache blocks of the prompt's prefixes, the shortest
	// first.
	PrefixBlocks []string
	// Exclude lists endpoints that this request must not be placed on again.
	Exclude  []string
	Deadline time.Time
}

// Grant permits the dispatch of one attempt to one endpoint.
type Grant struct {
	Attempt  string  `json:"attempt"`
	Endpoint string  `json:"endpoint"`
	Address  string  `json:"address"`
	Version  Version `json:"version"`
}

// Disposition tells a caller whether its request has run.
type Disposition string

const (
	// NotRun means that the request provably did not run and will not run.
	NotRun Disposition = "not_run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Disposition = "outcome_unknown"
	// AlreadyRun means that an earlier request with the same key has run.
	AlreadyRun Disposition = "already_run"
)

// Reason is the machine-readable cause of a refusal.
type Reason string

// Reasons for refusing a request.
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
	ReasonEvacuated          Reason = "evacuated"
	ReasonRegionNotAllowed   Reason = "region_not_allowed"
	ReasonNoScheduler        Reason = "no_scheduler"
	ReasonNotOwner           Reason = "not_owner"
	ReasonPoison             Reason = "poison"
	ReasonJournalUnavailable Reason = "journal_unavailable"
	ReasonDraining           Reason = "draining"
	ReasonNotReady           Reason = "not_ready"
	ReasonNoRoom             Reason = "no_room"
	ReasonEndpointFailed     Reason = "endpoint_failed"
	ReasonResponseIncomplete Reason = "answer_incomplete"
	ReasonCallerGone         Reason = "caller_gone"
	ReasonAlreadyRun         Reason = "already_run"
)

// Refusal is the error response to a request that got no result.
type Refusal struct {
	Disposition Disposition `json:"disposition"`
	Reason      Reason      `json:"reason"`
	Detail      string      `json:"detail,omitempty"`
	// Retry reports whether sending the request again can succeed.
	Retry bool `json:"retry"`
	// RetryAfter is the recommended delay before a retry, zero for no hint.
	RetryAfter time.Duration `json:"-"`
}

// Error implements error.
func (r *Refusal) Error() string {
	return string(r.Disposition) + ": " + string(r.Reason) + ": " + r.Detail
}

// Refuse returns a refusal of a request that did not run, without a retry hint.
func Refuse(reason Reason, detail string) *Refusal {
	return &Refusal{Disposition: NotRun, Reason: reason, Detail: detail}
}

// RefuseWithRetry returns a refusal of a request that did not run and may be
// sent again after a delay.
func RefuseWithRetry(reason Reason, detail string, retryAfter time.Duration) *Refusal {
	return &Refusal{Disposition: NotRun, Reason: reason, Detail: detail, Retry: true, RetryAfter: retryAfter}
}

// Result classifies how an attempt ended.
type Result string

// Results of an attempt.
const (
	ResultOK            Result = "ok"
	ResultNotDispatched Result = "not_dispatched" // no byte was sent; releases the idempotency key
	ResultRejected      Result = "rejected"       // the endpoint reported that it did not start the request
	ResultFailed        Result = "failed"         // the endpoint returned an error
	ResultLost          Result = "lost"           // the connection or the endpoint failed; the request may have run
	ResultCancelled     Result = "cancelled"      // cancelled by the caller or past its deadline
)

// Outcome is an entry host's report of one finished attempt.
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
	// Status is the endpoint's HTTP status, zero if there was no response.
	Status       int `json:"status,omitempty"`
	PromptTokens int `json:"prompt_tokens,omitempty"`
	OutputTokens int `json:"output_tokens,omitempty"`
	// FirstTokenMS and TotalMS are measured from the dispatch, in milliseconds.
	// BetweenTokensMS is the mean time between two tokens.
	FirstTokenMS    float64 `json:"first_token_ms,omitempty"`
	BetweenTokensMS float64 `json:"between_tokens_ms,omitempty"`
	TotalMS         float64 `json:"total_ms,omitempty"`
	// EndpointDied reports that the endpoint died while it ran the request.
	// Fingerprint is set in that case and for a successful result.
	EndpointDied bool   `json:"died,omitempty"`
	Fingerprint  string `json:"fingerprint,omitempty"`
	// EndpointDraining reports that the endpoint refused the request because it
	// is draining.
	EndpointDraining bool `json:"leaving,omitempty"`
	// ResponseBody is a small response body, stored to replay it when the
	// idempotency key is sent again.
	ResponseBody []byte `json:"answer,omitempty"`
	// ContentType is the content type of ResponseBody.
	ContentType string `json:"content_type,omitempty"`
}

// PriorOutcome is the stored outcome of an earlier attempt with the same key.
type PriorOutcome struct {
	Status       int    `json:"status"`
	ResponseBody []byte `json:"answer,omitempty"`
	ContentType  string `json:"content_type,omitempty"`
	// Complete reports whether ResponseBody is the complete response. If it is
	// not, all that is known is that the request ran.
	Complete bool `json:"whole"`
}
