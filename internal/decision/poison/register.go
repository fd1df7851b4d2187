package poison

import (
	"slices"
	"time"
)

// PartDeathLimit is how many endpoints may die as they begin the answers to requests
// that share a part of their prompts, without one answer between, before requests with
// that part are refused. It is higher than DeathLimit, as the refusal concerns more
// requests. Weaker evidence counts half.
const PartDeathLimit = 3

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
}

// Equal reports whether two hosts have observed the same.
func (e Evidence) Equal(other Evidence) bool {
	return e.Fingerprint == other.Fingerprint && e.Endpoint == other.Endpoint && e.Stage == other.Stage && slices.Equal(e.Parts, other.Parts)
}

// Register holds the evidence about requests and about the parts of their prompts.
type Register struct {
	requests, parts *Tracker
	answered        answeredParts
}

// NewRegister returns a register without evidence.
func NewRegister() *Register {
	return &Register{requests: NewTracker(), parts: newTracker(PartDeathLimit), answered: newAnsweredParts()}
}

// Record adds evidence. An answer clears the parts of its prompt: a part that crashes
// endpoints gets none.
func (r *Register) Record(e Evidence, now time.Time) {
	if e.Endpoint == "" {
		for _, part := range e.Parts {
			r.parts.Clear(part)
			r.answered.add(part, now)
		}
		return
	}
	if e.Fingerprint != "" {
		r.requests.RecordDeath(e.Fingerprint, e.Endpoint, now)
	}
	for _, part := range e.Parts {
		r.parts.record(part, e.Endpoint, e.Stage.partWeight(), now)
	}
}

// Empty reports whether no deaths are recorded.
func (r *Register) Empty() bool { return r.requests.Empty() && r.parts.Empty() }

// ClearRequest drops the deaths recorded for a request that has since succeeded.
func (r *Register) ClearRequest(fingerprint string) { r.requests.Clear(fingerprint) }

// Poisonous reports whether too many endpoints have died running the request, or
// requests that share a part of its prompt. Several endpoints may die at once of another
// cause, so a part that was answered lately is not blamed.
func (r *Register) Poisonous(fingerprint string, parts []string, now time.Time) bool {
	return r.requests.Poisonous(fingerprint, now) ||
		slices.ContainsFunc(parts, func(part string) bool { return r.isPartPoisonous(part, now) })
}

func (r *Register) isPartPoisonous(part string, now time.Time) bool {
	return r.parts.Poisonous(part, now) && !r.answered.lately(part, now)
}

// PoisonousParts returns those parts on which too many endpoints have died.
func (r *Register) PoisonousParts(parts []string, now time.Time) []string {
	var poisonous []string
	for _, part := range parts {
		if r.isPartPoisonous(part, now) {
			poisonous = append(poisonous, part)
		}
	}
	return poisonous
}

// Suspects returns those parts for which deaths are recorded.
func (r *Register) Suspects(parts []string) []string {
	var suspects []string
	for _, part := range parts {
		if len(r.parts.byRequest[part]) > 0 {
			suspects = append(suspects, part)
		}
	}
	return suspects
}

// Verdicts returns the evidence for the requests and parts that are poisonous.
func (r *Register) Verdicts(now time.Time) []Evidence {
	var verdicts []Evidence
	for fingerprint, deaths := range r.requests.byRequest {
		for endpoint := range deaths {
			if r.requests.Poisonous(fingerprint, now) {
				verdicts = append(verdicts, Evidence{Fingerprint: fingerprint, Endpoint: endpoint})
			}
		}
	}
	for part, deaths := range r.parts.byRequest {
		for endpoint, death := range deaths {
			if r.isPartPoisonous(part, now) {
				verdicts = append(verdicts, Evidence{Endpoint: endpoint, Parts: []string{part}, Stage: death.stage()})
			}
		}
	}
	return verdicts
}
