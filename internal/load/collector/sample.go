// Package collector gathers what callers saw into the result of a run.
package collector

import (
	"time"

	"kingcupcourse/internal/core"
)

// Sample is what one caller saw of one request.
type Sample struct {
	Class string
	Pool  string
	Tier  core.Tier
	// Due is when the request was due, since the start of the run. Waiting
	// times are measured from it, so that a slow system cannot hide by
	// slowing down its callers.
	Due time.Duration
	// Late is how much after Due it was sent.
	Late time.Duration
	// Status is the HTTP status, zero if there was no answer.
	Status int
	// Disposition and Reason are set for a refusal.
	Disposition core.Disposition
	Reason      core.Reason
	// FirstToken and Total are measured from Due.
	FirstToken, Total time.Duration
	// Gaps are the times between tokens of a stream.
	Gaps []time.Duration
	// Tokens is how many tokens arrived.
	Tokens int
	// Whole tells that every byte of the expected answer arrived.
	Whole bool
	// InTime tells that the whole answer arrived by the deadline.
	InTime bool
	// Wrong tells that an answer was taken as complete by its caller but has
	// the wrong content.
	Wrong bool
	// RequestID is what the entry host called the request.
	RequestID string
	// Key is the idempotency key of a run-once request.
	Key string
	// Resend tells that this is the second sending of a run-once request.
	Resend bool
	// Failure tells what went wrong on the connection, if anything did.
	Failure string
}

// Good tells whether the sample counts as goodput.
func (s *Sample) Good() bool { return s.Whole && s.InTime && !s.Wrong }
