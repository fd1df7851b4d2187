// Package collector gathers the callers' measurements and computes the result
// of a run.
package collector

import (
	"time"

	"kingcupcourse/internal/core"
)

// Sample holds a caller's measurements of one request.
type Sample struct {
	Class string
	Pool  string
	Tier  core.Tier
	// Due is when the request was due, since the start of the run. Latencies
	// are measured from it and not from when the request was sent, so that a
	// slow system that delays its callers does not appear faster than it is
	// (coordinated omission).
	Due time.Duration
	// SendDelay is the time from Due until the request was sent.
	SendDelay time.Duration
	// Status is the HTTP status, zero if there was no response.
	Status int
	// Disposition and Reason are set for a refusal.
	Disposition core.Disposition
	Reason      core.Reason
	// FirstToken and Total are measured from Due.
	FirstToken, Total time.Duration
	// TokenIntervals are the times between the tokens of a stream.
	TokenIntervals []time.Duration
	// Tokens is the number of tokens received.
	Tokens int
	// Complete is set if the response was received to its end.
	Complete bool
	// DeadlineMet is set if the complete response arrived by the deadline.
	DeadlineMet bool
	// WrongContent is set if a response appeared complete to its caller but
	// has the wrong content.
	WrongContent bool
	// RequestID is the id that the entry host gave the request.
	RequestID string
	// IdempotencyKey is the key of a run-once request.
	IdempotencyKey string
	// Resend is set for the second sending of a run-once request.
	Resend bool
	// Error describes a failure of the call, empty if there was none.
	Error string
}

// Good reports whether the request counts as goodput.
func (s *Sample) Good() bool { return s.Complete && s.DeadlineMet && !s.WrongContent }
