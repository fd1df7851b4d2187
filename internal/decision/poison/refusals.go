package poison

import (
	"maps"
	"time"
)

// Refusals are the verdicts of a register, with the end of each.
type Refusals struct {
	Requests map[string]time.Time // by fingerprint
	Parts    map[string]time.Time
}

// Refusals returns the verdicts in force.
func (r *Register) Refusals(now time.Time) Refusals {
	refusals := Refusals{Requests: map[string]time.Time{}, Parts: map[string]time.Time{}}
	for fingerprint, deaths := range r.requests.byRequest {
		if r.requests.sum(fingerprint, now, r.isExplained) >= r.requests.limit {
			refusals.Requests[fingerprint] = latestExpiry(deaths)
		}
	}
	maps.Copy(refusals.Requests, r.restored)
	for part, refusal := range r.refused {
		refusals.Parts[part] = refusal.until
	}
	return refusals.inForce(now)
}

// Restore adds verdicts of earlier runs, but for parts that were answered lately.
func (r *Register) Restore(refusals Refusals, now time.Time) {
	refusals = refusals.inForce(now)
	for fingerprint, until := range refusals.Requests {
		if len(r.restored) < maxRequests {
			r.restored[fingerprint] = until
		}
	}
	for part, until := range refusals.Parts {
		if !r.isRefused(part, now) && !r.answered.lately(part, now) {
			r.evictRefused(now)
			r.refused[part] = &refusal{until: until, endpoints: map[string]bool{}}
		}
	}
}

// inForce returns the refusals that have not ended. None lasts longer than Retention.
func (r Refusals) inForce(now time.Time) Refusals {
	limit := func(all map[string]time.Time) map[string]time.Time {
		result := map[string]time.Time{}
		for key, until := range all {
			if latest := now.Add(Retention); until.After(latest) {
				until = latest
			}
			if now.Before(until) {
				result[key] = until
			}
		}
		return result
	}
	return Refusals{Requests: limit(r.Requests), Parts: limit(r.Parts)}
}

// Same reports whether the same is refused at a time, whatever the ends.
func (r Refusals) Same(other Refusals, now time.Time) bool {
	a, b := r.inForce(now), other.inForce(now)
	ignoreEnd := func(time.Time, time.Time) bool { return true }
	return maps.EqualFunc(a.Requests, b.Requests, ignoreEnd) && maps.EqualFunc(a.Parts, b.Parts, ignoreEnd)
}
