package poison

import (
	"maps"
	"slices"
	"time"
)

// PartDeathLimit is how many endpoints may die as they begin the answers to requests
// that share a part of their prompts, without one answer between, before requests with
// that part are refused. It is higher than DeathLimit, as the refusal concerns more
// requests. Weaker evidence counts half.
const PartDeathLimit = 3

// minBursts is how many times, at least burstTime apart, endpoints have to die before a part
// is refused that was answered lately.
const minBursts = 3

// maxDeaths bounds the deaths that are kept to be passed on.
const maxDeaths = 256

// maxRefusedParts bounds the parts that are refused at a time.
const maxRefusedParts = 256

// Register holds the evidence about requests and about the parts of their prompts.
type Register struct {
	requests, parts *Tracker
	answered        answeredParts
	refused         map[string]*refusal // by part
	// restored holds the ends of verdicts of earlier runs, by fingerprint.
	restored map[string]time.Time
	// deaths holds the newest deaths as they were recorded.
	deaths []Dated
}

// refusal is the verdict on a part. The endpoints are those whose deaths it explains.
type refusal struct {
	until     time.Time
	endpoints map[string]bool
}

// extend keeps the refusal for as long as a death is kept.
func (r *refusal) extend(at time.Time) {
	if until := at.Add(Retention); until.After(r.until) {
		r.until = until
	}
}

// lastDeath returns the time of the last death that the refusal is based on.
func (r *refusal) lastDeath() time.Time { return r.until.Add(-Retention) }

// NewRegister returns a register without evidence.
func NewRegister() *Register {
	return &Register{requests: NewTracker(), parts: newTracker(PartDeathLimit), answered: newAnsweredParts(),
		refused: map[string]*refusal{}, restored: map[string]time.Time{}}
}

// Record adds evidence. An answer clears the parts of its prompt: a part that crashes
// endpoints gets none.
func (r *Register) Record(e Evidence, now time.Time) {
	if e.Endpoint == "" {
		r.clear(e.Parts, e.at(now), now)
		return
	}
	r.keep(e, now)
	if e.Fingerprint != "" {
		r.requests.record(e.Fingerprint, e.Endpoint, death{weight: e.Stage.requestWeight()}, e.at(now))
	}
	for position, part := range e.Parts {
		r.parts.record(part, e.Endpoint, death{weight: e.Stage.partWeight(), position: position}, e.at(now))
		if refusal := r.refused[part]; refusal != nil && r.isRefused(part, now) {
			refusal.endpoints[e.Endpoint] = true
			refusal.extend(e.at(now))
		}
	}
	r.judge(e.Parts, now)
}

// keep keeps a death to be passed on. Hosts may report the same one.
func (r *Register) keep(e Evidence, now time.Time) {
	if slices.ContainsFunc(r.deaths, func(known Dated) bool { return e.Equal(known.Evidence) }) {
		return
	}
	r.deaths = append(r.deaths, Dated{Evidence: e, Got: now})
	if len(r.deaths) > maxDeaths {
		r.deaths = slices.Clone(r.deaths[1:])
	}
}

// clear clears parts of the deaths before an answer. Deaths that were explained by them may
// count against the parts before them now.
func (r *Register) clear(parts []string, at, now time.Time) {
	unexplained := map[string]bool{}
	for _, part := range parts {
		r.answered.add(part, at)
		r.parts.clearUntil(part, at)
		if refusal := r.refused[part]; refusal != nil && !refusal.lastDeath().After(at) {
			maps.Copy(unexplained, refusal.endpoints)
			delete(r.refused, part)
		}
	}
	if len(unexplained) > 0 {
		r.judge(r.parts.causesOf(unexplained), now)
	}
}

// judge refuses those parts on which too many endpoints have died. Prompts that share a
// part share all parts before it too, so a later one is the more likely cause.
func (r *Register) judge(parts []string, now time.Time) {
	for _, part := range slices.Backward(parts) {
		if !r.isRefused(part, now) && r.isSuspect(part, now) {
			r.refuse(part, now)
		}
	}
}

// isSuspect reports whether a part is to be refused. Several endpoints may die at once of
// another cause, so a part that was answered lately is blamed only if they go on dying
// without an answer.
func (r *Register) isSuspect(part string, now time.Time) bool {
	sum := r.parts.sum(part, now, r.isExplained)
	if !r.answered.lately(part, now) {
		return sum >= r.parts.limit
	}
	return sum >= 2*r.parts.limit && r.parts.bursts(part, now, r.isExplained) >= minBursts
}

// isExplained reports whether a refused part explains the death of an endpoint.
func (r *Register) isExplained(endpoint string) bool {
	for _, refusal := range r.refused {
		if refusal.endpoints[endpoint] {
			return true
		}
	}
	return false
}

// refuse refuses a part. The deaths that it explains count against nothing else.
func (r *Register) refuse(part string, now time.Time) {
	refusal := &refusal{endpoints: map[string]bool{}}
	for endpoint, death := range r.parts.byRequest[part] {
		if !r.isExplained(endpoint) {
			refusal.endpoints[endpoint] = true
			refusal.extend(death.at())
		}
	}
	r.evictRefused(now)
	r.refused[part] = refusal
}

// evictRefused drops what has expired, and what expires first if that is not enough.
func (r *Register) evictRefused(now time.Time) {
	first := ""
	for part, refusal := range r.refused {
		switch {
		case !now.Before(refusal.until):
			delete(r.refused, part)
		case first == "" || refusal.until.Before(r.refused[first].until):
			first = part
		}
	}
	if len(r.refused) >= maxRefusedParts {
		delete(r.refused, first)
	}
}

// Empty reports whether no deaths are recorded.
func (r *Register) Empty() bool {
	return r.requests.Empty() && r.parts.Empty() && len(r.refused) == 0 && len(r.restored) == 0
}

// ClearRequest drops the deaths recorded for a request that has since succeeded.
func (r *Register) ClearRequest(fingerprint string) {
	r.requests.Clear(fingerprint)
	delete(r.restored, fingerprint)
}

// Poisonous reports whether too many endpoints have died running the request, or
// requests that share a part of its prompt.
func (r *Register) Poisonous(fingerprint string, parts []string, now time.Time) bool {
	r.judge(parts, now)
	return now.Before(r.restored[fingerprint]) || r.requests.sum(fingerprint, now, r.isExplained) >= r.requests.limit ||
		slices.ContainsFunc(parts, func(part string) bool { return r.isRefused(part, now) })
}

func (r *Register) isRefused(part string, now time.Time) bool {
	refusal := r.refused[part]
	return refusal != nil && now.Before(refusal.until)
}

// RefusedParts returns those parts that are refused.
func (r *Register) RefusedParts(parts []string, now time.Time) []string {
	var refused []string
	for _, part := range parts {
		if r.isRefused(part, now) {
			refused = append(refused, part)
		}
	}
	return refused
}

// Suspects returns those parts for which deaths are recorded.
func (r *Register) Suspects(parts []string) []string {
	var suspects []string
	for _, part := range parts {
		if len(r.parts.byRequest[part]) > 0 || r.refused[part] != nil {
			suspects = append(suspects, part)
		}
	}
	return suspects
}

// Deaths returns the recorded deaths, without the parts that have been cleared.
func (r *Register) Deaths(now time.Time) []Evidence {
	var deaths []Evidence
	for _, e := range AllAged(r.deaths, now) {
		e.Parts = slices.DeleteFunc(slices.Clone(e.Parts), func(part string) bool { return !r.parts.holds(part, e.Endpoint, now) })
		if !r.requests.holds(e.Fingerprint, e.Endpoint, now) {
			e.Fingerprint = ""
		}
		if e.Fingerprint != "" || len(e.Parts) > 0 {
			deaths = append(deaths, e)
		}
	}
	return deaths
}
