package trial

import (
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/message"
)

// Interest tells how much a trial gains by a request on its version.
type Interest int

// The interests of a trial.
const (
	// Neutral means that the version is in no trial.
	Neutral Interest = iota
	// Wanted means that the request brings evidence that is needed.
	Wanted
	// Spared means that the route has been proved while others have not; the
	// share is better left to those.
	Spared
)

// Interest returns the interest in a request of a route on a version that is
// below its share.
func (s *Set) Interest(v core.Version, route string, now time.Time) Interest {
	t := s.trials[v]
	switch {
	case !s.Open(v):
		return Neutral
	case t.stage == message.StageCanary && t.monitor.Proved(route) && t.monitor.Lacking(now):
		return Spared
	}
	return Wanted
}
