// Package reports is the supervisor of the duties that tell the schedulers
// what runs at this host and what has ended: the owner of that state, and
// senders that make the calls so that the owner never waits for a peer.
package reports

import (
	"context"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/ownership"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
)

// Message is what the owner takes from its ring: Started, Progress, Ended,
// Watch or Unwatch.
type Message interface {
	handle(o *Reporter, now time.Time)
}

// AttemptStarted tells that an attempt has got its grant and is dispatched.
type AttemptStarted struct {
	Shard   ownership.Shard
	Running message.RunningRequest
}

// AttemptProgress tells how many output tokens of an attempt have arrived. It may
// be dropped when the ring is full.
type AttemptProgress struct {
	Shard        ownership.Shard
	Attempt      string
	OutputTokens int
}

// AttemptEnded tells that an attempt is over. Every attempt for which a grant call
// was begun ends with one, unless the owner refused it.
type AttemptEnded struct {
	Shard   ownership.Shard
	Outcome core.Outcome
	// KeepUntil is how long the outcome is resent until it is acknowledged.
	KeepUntil time.Time
	// Acknowledged is answered when an owner has taken the outcome. It may
	// be left empty.
	Acknowledged ring.Reply[struct{}]
}

// WatchGrant asks that a grant call be cancelled with ErrOwnerSilent when the
// scheduler that it waits for stops answering heartbeats.
type WatchGrant struct {
	Address, Attempt string
	Cancel           context.CancelCauseFunc
}

// UnwatchGrant ends a Watch.
type UnwatchGrant struct {
	Address, Attempt string
}

// Inbox is the ring of the owner.
type Inbox = *ring.Ring[Message]
