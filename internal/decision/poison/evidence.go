package poison

import (
	"slices"
	"time"
)

// Stage is how far the answer to a request had come when its endpoint died.
type Stage string

const (
	// Begun is between the head of the answer and its first event. The endpoint had
	// worked on answers that have events without dying.
	Begun Stage = ""
	// Unanswered is before the head: the request may have waited for its turn.
	Unanswered Stage = "unanswered"
	// FirstEvent is after one event, which the endpoint may have sent as it died.
	FirstEvent Stage = "first_event"
	// Underway is after more events.
	Underway Stage = "underway"
)

// StageAfter returns the stage of an answer by whether its head has come, and the number
// of its events.
func StageAfter(head bool, events int) Stage {
	switch {
	case !head:
		return Unanswered
	case events == 0:
		return Begun
	case events == 1:
		return FirstEvent
	}
	return Underway
}

// partWeight returns how strongly a death at the stage speaks against the parts of the
// prompt.
func (s Stage) partWeight() weight {
	switch s {
	case Begun:
		return fullWeight
	case Unanswered, FirstEvent:
		return halfWeight
	}
	return noWeight
}

// requestWeight returns how strongly a death at the stage speaks against the request if it
// is sent again. An endpoint that has worked on an answer for a while rather died of
// another request.
func (s Stage) requestWeight() weight {
	if s == Underway {
		return halfWeight
	}
	return fullWeight
}

// Evidence is what a host has observed of a request: the death of an endpoint that ran
// it, or an answer.
type Evidence struct {
	// Fingerprint identifies the request if it is sent again.
	Fingerprint string `json:"fingerprint,omitempty"`
	// Endpoint is the run of the endpoint that died, empty if an endpoint has answered.
	Endpoint string `json:"endpoint,omitempty"`
	// Parts are the parts of the prompt that others may share.
	Parts []string `json:"parts,omitempty"`
	// Stage is how far the answer had come if an endpoint died.
	Stage Stage `json:"stage,omitempty"`
	// AgeMS is how long ago the endpoint died or answered, in milliseconds.
	AgeMS int64 `json:"age_ms,omitempty"`
}

// Equal reports whether two hosts have observed the same, at whatever time.
func (e Evidence) Equal(other Evidence) bool {
	return e.Fingerprint == other.Fingerprint && e.Endpoint == other.Endpoint && e.Stage == other.Stage && slices.Equal(e.Parts, other.Parts)
}

// at returns when the endpoint died or answered. An age that cannot be right is taken for
// the nearest that can.
func (e Evidence) at(now time.Time) time.Time {
	age := min(max(e.AgeMS, 0), Retention.Milliseconds())
	return now.Add(-time.Duration(age) * time.Millisecond)
}

// Dated is evidence with the time at which its holder got it.
type Dated struct {
	Evidence
	Got time.Time
}

// Aged returns the evidence with its present age.
func (d Dated) Aged(now time.Time) Evidence {
	d.AgeMS += now.Sub(d.Got).Milliseconds()
	return d.Evidence
}

// AllAged returns the evidence with its present age.
func AllAged(dated []Dated, now time.Time) []Evidence {
	var aged []Evidence
	for _, d := range dated {
		aged = append(aged, d.Aged(now))
	}
	return aged
}
