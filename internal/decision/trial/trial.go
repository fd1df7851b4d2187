// Package trial holds the trials of unproved versions in one pool: for each
// version that an unfinished move leads to, the evidence from the outcomes of
// requests and, once that shows it as bad, the verdict.
package trial

import (
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/canary"
	"kingcupcourse/internal/decision/share"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/message"
)

// minWatchDuration is how long at least a version is watched after its move is done.
const minWatchDuration = time.Minute

// Trial is the evidence about one version.
type Trial struct {
	move    manifest.Move
	stage   message.Stage
	monitor *canary.Monitor
	// doneAt is when the move was seen to be done, zero before.
	doneAt time.Time
	// alarmed tells that the version was found bad after its move was done.
	alarmed bool
	// lastLost is when an attempt on an endpoint was last lost.
	lastLost map[string]time.Time
}

// Set holds the trials of one pool. It is owned by one duty.
type Set struct {
	pool     string
	settings canary.Settings
	trials   map[core.Version]*Trial
	bad      map[core.Version]message.BadVersion
}

// NewSet returns a set without trials, whose verdicts follow the usual
// settings.
func NewSet(pool string) *Set { return NewSetWith(pool, canary.DefaultSettings()) }

// NewSetWith is NewSet with other settings.
func NewSetWith(pool string, settings canary.Settings) *Set {
	return &Set{pool: pool, settings: settings, trials: map[core.Version]*Trial{}, bad: map[core.Version]message.BadVersion{}}
}

// Sync brings the trials in line with the planned moves and their stages.
// A done move's version is watched on; one that is done when first seen has
// no evidence to be watched with.
func (s *Set) Sync(m *manifest.Manifest, stages map[string]message.MoveStage, now time.Time) {
	planned := map[core.Version]bool{}
	for _, move := range m.Moves {
		if move.Pool != s.pool {
			continue
		}
		stage := share.StageOf(move, stages).Stage
		if stage == message.StageReverted {
			continue
		}
		planned[move.ToVersion] = true
		s.syncMove(move, stage, now)
	}
	for version := range s.trials {
		if !planned[version] {
			delete(s.trials, version)
		}
	}
}

func (s *Set) syncMove(move manifest.Move, stage message.Stage, now time.Time) {
	t := s.trials[move.ToVersion]
	done := stage == message.StageDone
	switch {
	case t == nil && done:
		return
	case t == nil || t.move.FromVersion != move.FromVersion:
		t = &Trial{monitor: canary.New(s.settings), lastLost: map[string]time.Time{}}
		s.trials[move.ToVersion] = t
	}
	t.move, t.stage = move, stage
	if done && t.doneAt.IsZero() {
		t.doneAt = now
		t.monitor.FreezeBaseline()
	}
}

// Reset forgets the evidence, for an owner that did not see all of it. The
// verdicts stay.
func (s *Set) Reset() { clear(s.trials) }

// Bad tells whether a version was judged bad here.
func (s *Set) Bad(v core.Version) bool {
	_, bad := s.bad[v]
	return bad
}

// Active tells whether a version is on trial and not judged yet.
func (s *Set) Active(v core.Version) bool {
	t := s.trials[v]
	return t != nil && t.doneAt.IsZero() && !s.Bad(v)
}

// Evidence returns the evidence about a version, by route.
func (s *Set) Evidence(v core.Version, now time.Time) []canary.RouteEvidence {
	if t := s.trials[v]; t != nil {
		return t.monitor.Evidence(now)
	}
	return nil
}

// Finding is a version that has just been found bad.
type Finding struct {
	message.BadVersion
	Move string
	// MoveDone tells that the move was done, so that the version is in force: no
	// verdict can take it back, and operators have to be told.
	MoveDone bool
}

// Observe takes in an outcome, and returns what it brings to light.
func (s *Set) Observe(o *core.Outcome, place EndpointState, now time.Time) []Finding {
	observed, ok := observation(o, place)
	if !ok {
		return nil
	}
	var findings []Finding
	for version, t := range s.trials {
		if !t.accepts(o, now) {
			continue
		}
		if o.Version == t.move.FromVersion {
			t.monitor.ObserveBaseline(now, o.Route, observed)
			continue
		}
		t.monitor.ObserveCandidate(now, o.Route, observed)
		if found, bad := s.newFinding(version, t); bad {
			findings = append(findings, found)
		}
	}
	return findings
}

// newFinding returns a finding once for each trial.
func (s *Set) newFinding(version core.Version, t *Trial) (Finding, bool) {
	route, reason, bad := t.monitor.Bad()
	if !bad || s.Bad(version) || t.alarmed {
		return Finding{}, false
	}
	found := Finding{Move: t.move.Name, MoveDone: !t.doneAt.IsZero(),
		BadVersion: message.BadVersion{Pool: s.pool, Version: version, Route: route, Reason: reason}}
	if found.MoveDone {
		t.alarmed = true
	} else {
		s.bad[version] = found.BadVersion
	}
	return found, true
}

// accepts tells whether an outcome counts in the trial.
func (t *Trial) accepts(o *core.Outcome, now time.Time) bool {
	switch {
	case o.Version != t.move.FromVersion && o.Version != t.move.ToVersion:
		return false
	case !t.doneAt.IsZero() && now.Sub(t.doneAt) > t.watchDuration():
		return false
	case o.Result == core.ResultLost:
		return t.countsAsLoss(o.Endpoint, now)
	}
	return true
}

func (t *Trial) watchDuration() time.Duration {
	return max(minWatchDuration, time.Duration(t.move.SoakMS)*time.Millisecond)
}

// minLossInterval is the shortest time between two losses of an endpoint that
// count. An endpoint that dies takes all its attempts along; that is one
// observation of its version.
const minLossInterval = time.Second

func (t *Trial) countsAsLoss(endpoint string, now time.Time) bool {
	if last, ok := t.lastLost[endpoint]; ok && now.Sub(last) < minLossInterval {
		return false
	}
	t.lastLost[endpoint] = now
	return true
}
