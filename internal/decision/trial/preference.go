package trial

import (
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/message"
)

// Preference is how useful a request on a version is for the version's trial.
type Preference int

// Values of Preference.
const (
	// NoPreference means that the version is not on trial.
	NoPreference Preference = iota
	// Preferred means that the request gives evidence that the trial needs.
	Preferred
	// Avoided means that the request's route has been proved while others
	// have not; the version's share is better left to those.
	Avoided
)

// Preference returns the preference for a request of the route on a version that
// is below its share.
func (s *Set) Preference(v core.Version, route string, now time.Time) Preference {
	t := s.trials[v]
	switch {
	case !s.Active(v):
		return NoPreference
	case t.stage == message.StageCanary && t.monitor.Proved(route, now) && t.monitor.HasUnprovedRoute(now):
		return Avoided
	}
	return Preferred
}
