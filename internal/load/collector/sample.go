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
	// SendDelay is how much after Due it was sent.
	SendDelay time.Duration
	// Status is the HTTP status, zero if there was no answer.
	Status int
	// Disposition and Reason are set for a refusal.
	Disposition core.Disposition
	Reason      core.Reason
	// FirstToken and Total are measured from Due.
	FirstToken, Total time.Duration
	// TokenIntervals are the times between tokens of a stream.
	TokenIntervals []time.Duration
	// Tokens is how many tokens arrived.
	Tokens int
	// Complete tells that every byte of the expected answer arrived.
	Complete bool
	// DeadlineMet tells that the whole answer arrived by the deadline.
	DeadlineMet bool
	// WrongContent tells that an answer was taken as complete by its caller but has
	// the wrong content.
	WrongContent bool
	// RequestID is what the entry host called the request.
	RequestID string
	// IdempotencyKey is the idempotency key of a run-once request.
	IdempotencyKey string
	// Resend tells that this is the second sending of a run-once request.
	Resend bool
	// Error tells what went wrong on the connection, if anything did.
	Error string
}

// Good tells whether the sample counts as goodput.
func (s *Sample) Good() bool { return s.Complete && s.DeadlineMet && !s.WrongContent }
