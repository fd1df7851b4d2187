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

// Opening begins a request before its body is read.
type Opening struct {
	ring.Reply[Opened]
	// Token names the request until its Closing.
	Token        string
	Method, Path string
	// KeyHash is the hex SHA-256 hash of the bearer key.
	KeyHash string
}

// Opened answers an Opening.
type Opened struct {
	// Refusal is nil if the body may be read.
	Refusal *core.Refusal
	Account string
	Terms   decision.PathLimits
}

// Question asks whether a request whose body has been read is let in.
type Question struct {
	ring.Reply[Ticket]
	Token       string
	Fingerprint string
	// Ask is complete but for Account and PoisonMarks, which the duty knows.
	Ask decision.Request
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

// RetryAsk asks for one retry from the host's retry budget.
type RetryAsk struct {
	ring.Reply[bool]
}

// Closing ends a request. It follows every Opening that was put in the ring.
type Closing struct {
	Token       string
	Fingerprint string
	// FinishedWell tells that an endpoint gave a whole answer.
	FinishedWell bool
}

// OwnersAsk asks for the live schedulers of a shard as of now, the owner
// first.
type OwnersAsk struct {
	ring.Reply[[]message.Member]
	Shard ownership.Shard
}

// VersionAsk asks whether a version was judged bad.
type VersionAsk struct {
	ring.Reply[bool]
	Version core.EndpointVersion
}
