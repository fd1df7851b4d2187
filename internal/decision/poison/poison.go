// Package poison records which endpoints died while they ran a request, so that
// a request that crashes every endpoint it runs on is stopped, and so are all
// requests that share the part of their prompts that crashes endpoints.
package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// DeathLimit is how many endpoints may die while they run a request before
	// the request is refused. A single death is weak evidence: the endpoint may
	// have died of something else.
	DeathLimit = 2
	// Retention is how long a death is kept.
	Retention = 10 * time.Minute
	// maxRequests limits the number of requests with recorded deaths. Above it,
	// those that expire first are dropped.
	maxRequests = 1024
)

// weight is how strongly a death speaks against a request, or against what it shares with
// others.
type weight int

const (
	noWeight   weight = 0
	halfWeight weight = 1
	fullWeight weight = 2
)

// death is the death of an endpoint.
type death struct {
	weight weight
	until  time.Time
	// position is that of the part in the prompt, counted from its beginning.
	position int
}

// at returns when the endpoint died.
func (d death) at() time.Time { return d.until.Add(-Retention) }

// Tracker holds the deaths by request fingerprint, or by what else the requests share.
type Tracker struct {
	limit     weight
	byRequest map[string]map[string]death // by fingerprint and endpoint
}

// NewTracker returns an empty tracker of requests.
func NewTracker() *Tracker { return newTracker(DeathLimit) }

func newTracker(limit int) *Tracker {
	return &Tracker{limit: weight(limit) * fullWeight, byRequest: map[string]map[string]death{}}
}

// RecordDeath records that an endpoint died while it ran a request.
func (t *Tracker) RecordDeath(fingerprint, endpoint string, now time.Time) {
	t.record(fingerprint, endpoint, death{weight: fullWeight}, now)
}

// record records a death. Of several requests on an endpoint, the one against which its
// death speaks most counts. The first report tells the time.
func (t *Tracker) record(fingerprint, endpoint string, d death, at time.Time) {
	if d.weight == noWeight {
		return
	}
	if t.byRequest[fingerprint] == nil {
		t.evict(at)
		t.byRequest[fingerprint] = map[string]death{}
	}
	deaths := t.byRequest[fingerprint]
	d.until = at.Add(Retention)
	if known := deaths[endpoint]; at.Before(known.until) {
		d.weight, d.until = max(d.weight, known.weight), known.until
	}
	deaths[endpoint] = d
}

// Empty reports whether no deaths are recorded.
func (t *Tracker) Empty() bool { return len(t.byRequest) == 0 }

// Clear drops the deaths recorded for a request that has since succeeded.
func (t *Tracker) Clear(fingerprint string) { delete(t.byRequest, fingerprint) }

// clearUntil drops the deaths that are not after the given time.
func (t *Tracker) clearUntil(fingerprint string, at time.Time) {
	deaths := t.byRequest[fingerprint]
	maps.DeleteFunc(deaths, func(_ string, d death) bool { return !d.at().After(at) })
	if len(deaths) == 0 {
		delete(t.byRequest, fingerprint)
	}
}

// Poisonous reports whether too many endpoints have died running the request.
func (t *Tracker) Poisonous(fingerprint string, now time.Time) bool {
	return t.sum(fingerprint, now, func(string) bool { return false }) >= t.limit
}

// sum adds up the deaths that are not excluded.
func (t *Tracker) sum(fingerprint string, now time.Time, excluded func(endpoint string) bool) weight {
	sum := noWeight
	for endpoint, death := range t.byRequest[fingerprint] {
		if now.Before(death.until) && !excluded(endpoint) {
			sum += death.weight
		}
	}
	return sum
}

// burstTime is the time in which deaths are taken to have one cause.
const burstTime = time.Second

// holds reports whether the death of the endpoint is recorded.
func (t *Tracker) holds(fingerprint, endpoint string, now time.Time) bool {
	return now.Before(t.byRequest[fingerprint][endpoint].until)
}

// bursts counts the times, at least burstTime apart, at which endpoints died that are not
// excluded.
func (t *Tracker) bursts(fingerprint string, now time.Time, excluded func(endpoint string) bool) int {
	var times []time.Time
	for endpoint, death := range t.byRequest[fingerprint] {
		if now.Before(death.until) && !excluded(endpoint) {
			times = append(times, death.at())
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	count, first := 0, time.Time{}
	for _, at := range times {
		if count == 0 || at.Sub(first) >= burstTime {
			count, first = count+1, at
		}
	}
	return count
}

// causesOf returns what the deaths of the endpoints are recorded for, by position.
func (t *Tracker) causesOf(endpoints map[string]bool) []string {
	positions := map[string]int{}
	for cause, deaths := range t.byRequest {
		for endpoint, death := range deaths {
			if endpoints[endpoint] {
				positions[cause] = max(positions[cause], death.position)
			}
		}
	}
	return slices.SortedFunc(maps.Keys(positions), func(a, b string) int {
		return cmp.Or(cmp.Compare(positions[a], positions[b]), cmp.Compare(a, b))
	})
}

// evict drops what has expired, and the request that expires first if that is
// not enough.
func (t *Tracker) evict(now time.Time) {
	if len(t.byRequest) < maxRequests {
		return
	}
	oldest, oldestUntil := "", time.Time{}
	for fingerprint, deaths := range t.byRequest {
		until := latestExpiry(deaths)
		switch {
		case !now.Before(until):
			delete(t.byRequest, fingerprint)
		case oldest == "" || until.Before(oldestUntil):
			oldest, oldestUntil = fingerprint, until
		}
	}
	if len(t.byRequest) >= maxRequests {
		delete(t.byRequest, oldest)
	}
}

func latestExpiry(deaths map[string]death) time.Time {
	var last time.Time
	for _, death := range deaths {
		if death.until.After(last) {
			last = death.until
		}
	}
	return last
}
