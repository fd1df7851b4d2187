// Package reports is the supervisor of the duties that report running and
// finished attempts to the schedulers. The reporter owns this state; senders
// make the calls, so that the reporter never waits for a scheduler.
package reports

import (
	"context"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/ownership"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
)

// Message is a message to the reporter: AttemptStarted, AttemptProgress,
// AttemptEnded, WatchGrant or UnwatchGrant, or a sender's result.
type Message interface {
	handle(r *Reporter, now time.Time)
}

// AttemptStarted reports that an attempt has its grant and is being
// dispatched.
type AttemptStarted struct {
	Shard   ownership.Shard
	Running message.RunningRequest
}

// AttemptProgress reports how many output tokens of an attempt have arrived.
// It may be dropped when the ring is full.
type AttemptProgress struct {
	Shard        ownership.Shard
	Attempt      string
	OutputTokens int
}

// AttemptEnded reports the end of an attempt. Every attempt for which a grant
// call was started ends with one, unless the owner refused it.
type AttemptEnded struct {
	Shard   ownership.Shard
	Outcome core.Outcome
	// KeepUntil is when the outcome is dropped even if no owner has
	// acknowledged it.
	KeepUntil time.Time
	// Acknowledged is sent when an owner has acknowledged the outcome. It may
	// be left empty.
	Acknowledged ring.Reply[struct{}]
}

// WatchGrant requests that a grant call be cancelled with ErrSchedulerSilent
// when its scheduler stops answering heartbeats.
type WatchGrant struct {
	Address, Attempt string
	Cancel           context.CancelCauseFunc
}

// UnwatchGrant ends a WatchGrant.
type UnwatchGrant struct {
	Address, Attempt string
}

// Inbox is the reporter's ring.
type Inbox = *ring.Ring[Message]
