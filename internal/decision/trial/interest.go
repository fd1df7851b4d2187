package trial

import (
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/message"
)

// Preference tells how much a trial gains by a request on its version.
type Preference int

// The interests of a trial.
const (
	// NoPreference means that the version is in no trial.
	NoPreference Preference = iota
	// Preferred means that the request brings evidence that is needed.
	Preferred
	// Avoided means that the route has been proved while others have not; the
	// share is better left to those.
	Avoided
)

// Preference returns the interest in a request of a route on a version that is
// below its share.
func (s *Set) Preference(v core.Version, route string, now time.Time) Preference {
	t := s.trials[v]
	switch {
	case !s.Active(v):
		return NoPreference
	case t.stage == message.StageCanary && t.monitor.Proved(route) && t.monitor.HasUnprovedRoute(now):
		return Avoided
	}
	return Preferred
}
