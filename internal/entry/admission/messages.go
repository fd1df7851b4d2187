// Package admission implements the duty that admits requests. It owns the
// accounts, the routes, the rate limits, the requests in progress, the retry
// budget and the poison marks that this host has cleared.
package admission

import (
	"time"

	"kingcupcourse/internal/core"
	decision "kingcupcourse/internal/decision/admission"
	"kingcupcourse/internal/decision/ownership"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
)

// Message is a message to the duty: Open, Admit, RequestRetry, Close,
// QueryOwners or QueryBadVersion.
type Message interface {
	handle(d *Duty, now time.Time)
}

// Open registers a request before its body is read.
type Open struct {
	ring.Reply[OpenReply]
	// Token identifies the request until its Close.
	Token        string
	Method, Path string
	// KeyHash is the hex SHA-256 hash of the bearer key.
	KeyHash string
}

// OpenReply is the reply to an Open.
type OpenReply struct {
	// Refusal is nil if the body may be read.
	Refusal *core.Refusal
	Account string
	Limits  decision.PathLimits
}

// Admit requests admission of a request whose body has been read.
type Admit struct {
	ring.Reply[Ticket]
	Token       string
	Fingerprint string
	// Request is complete except for Account and PoisonMarks, which the duty
	// fills in.
	Request decision.Request
}

// Ticket is the reply to an Admit.
type Ticket struct {
	// Refusal is nil if the request is admitted.
	Refusal *core.Refusal
	decision.Decision
	// Owners are the live schedulers of the shard, the owner first.
	Owners        []message.Member
	ConfigVersion uint64
}

// RequestRetry withdraws one retry from the host's retry budget.
type RequestRetry struct {
	ring.Reply[bool]
}

// Close ends a request. The sender must put one in the ring for every Open.
type Close struct {
	Token       string
	Fingerprint string
	// Succeeded reports whether an endpoint returned a complete response.
	Succeeded bool
}

// QueryOwners requests the current live schedulers of a shard, the owner
// first.
type QueryOwners struct {
	ring.Reply[[]message.Member]
	Shard ownership.Shard
}

// QueryBadVersion asks whether a version has been judged bad.
type QueryBadVersion struct {
	ring.Reply[bool]
	Version core.EndpointVersion
}
