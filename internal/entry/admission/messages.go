// Package admission is the duty that lets requests in. It owns the accounts,
// routes, rate limits, the requests in progress, the retry budget and what
// is known of poison requests.
package admission

import (
	"time"

	"kingcupcourse/internal/core"
	decision "kingcupcourse/internal/decision/admission"
	"kingcupcourse/internal/decision/ownership"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
)

// Message is what the duty takes from its ring: Opening, Question, RetryAsk,
// OwnersAsk, VersionAsk or Closing.
type Message interface {
	handle(d *Duty, now time.Time)
}

// Open begins a request before its body is read.
type Open struct {
	ring.Reply[OpenReply]
	// Token names the request until its Closing.
	Token        string
	Method, Path string
	// KeyHash is the hex SHA-256 hash of the bearer key.
	KeyHash string
}

// OpenReply answers an Opening.
type OpenReply struct {
	// Refusal is nil if the body may be read.
	Refusal *core.Refusal
	Account string
	Limits  decision.PathLimits
}

// Admit asks whether a request whose body has been read is let in.
type Admit struct {
	ring.Reply[Ticket]
	Token       string
	Fingerprint string
	// Request is complete but for Account and PoisonMarks, which the duty knows.
	Request decision.Request
}

// Ticket answers a Question.
type Ticket struct {
	// Refusal is nil if the request is let in.
	Refusal *core.Refusal
	decision.Decision
	// Owners are the live schedulers of the shard, the owner first.
	Owners        []message.Member
	ConfigVersion uint64
}

// RequestRetry asks for one retry from the host's retry budget.
type RequestRetry struct {
	ring.Reply[bool]
}

// Close ends a request. It follows every Opening that was put in the ring.
type Close struct {
	Token       string
	Fingerprint string
	// Succeeded tells that an endpoint gave a whole answer.
	Succeeded bool
}

// QueryOwners asks for the live schedulers of a shard as of now, the owner
// first.
type QueryOwners struct {
	ring.Reply[[]message.Member]
	Shard ownership.Shard
}

// QueryBadVersion asks whether a version was judged bad.
type QueryBadVersion struct {
	ring.Reply[bool]
	Version core.EndpointVersion
}
