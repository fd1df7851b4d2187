// Package poison remembers under which requests endpoints have died, so that
// a request that crashes every endpoint that runs it is stopped.
package poison

import "time"

const (
	// DeathLimit is how many endpoints may die under a request before it is
	// refused. One death proves little: the request may only have been there
	// when the endpoint died of something else.
	DeathLimit = 2
	// Retention is how long a death is remembered.
	Retention = 10 * time.Minute
	// maxRequests bounds the requests that are remembered; beyond it the
	// deaths that are forgotten first go.
	maxRequests = 1024
)

// Death tells that an endpoint died under a request.
type Death struct {
	// Fingerprint recognises the request when it is sent again.
	Fingerprint string `json:"fingerprint"`
	Endpoint    string `json:"endpoint"`
}

// Tracker holds the deaths by request fingerprint.
type Tracker struct {
	byRequest map[string]map[string]time.Time // fingerprint, endpoint: until
}

// NewTracker returns marks without any death.
func NewTracker() *Tracker { return &Tracker{byRequest: map[string]map[string]time.Time{}} }

// RecordDeath notes that an endpoint died under a request.
func (m *Tracker) RecordDeath(fingerprint, endpoint string, now time.Time) {
	if m.byRequest[fingerprint] == nil {
		m.evict(now)
		m.byRequest[fingerprint] = map[string]time.Time{}
	}
	m.byRequest[fingerprint][endpoint] = now.Add(Retention)
}

// Empty tells whether no request is marked.
func (m *Tracker) Empty() bool { return len(m.byRequest) == 0 }

// Clear forgets the deaths under a request that has since run well.
func (m *Tracker) Clear(fingerprint string) { delete(m.byRequest, fingerprint) }

// Poisonous tells whether too many endpoints have died under the request.
func (m *Tracker) Poisonous(fingerprint string, now time.Time) bool {
	deaths := 0
	for _, until := range m.byRequest[fingerprint] {
		if now.Before(until) {
			deaths++
		}
	}
	return deaths >= DeathLimit
}

// evict forgets what has expired, and the oldest request if that is not
// enough.
func (m *Tracker) evict(now time.Time) {
	if len(m.byRequest) < maxRequests {
		return
	}
	oldest, oldestUntil := "", time.Time{}
	for fingerprint, deaths := range m.byRequest {
		until := latestExpiry(deaths)
		switch {
		case !now.Before(until):
			delete(m.byRequest, fingerprint)
		case oldest == "" || until.Before(oldestUntil):
			oldest, oldestUntil = fingerprint, until
		}
	}
	if len(m.byRequest) >= maxRequests {
		delete(m.byRequest, oldest)
	}
}

func latestExpiry(deaths map[string]time.Time) time.Time {
	var last time.Time
	for _, until := range deaths {
		if until.After(last) {
			last = until
		}
	}
	return last
}
