// Package trial holds the trials of unproved versions in one pool. For each
// version that is the target of an unfinished move it collects evidence from the
// outcomes of requests, and it keeps the verdict once the evidence shows that
// the version is bad.
package trial

import (
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/canary"
	"kingcupcourse/internal/decision/share"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/message"
)

// minWatchDuration is the shortest time that a version is watched after its move
// is done.
const minWatchDuration = time.Minute

// Trial is the evidence about one version.
type Trial struct {
	move    manifest.Move
	stage   message.Stage
	monitor *canary.Monitor
	// doneAt is when the move was first seen to be done, zero before.
	doneAt time.Time
	// alarmed is set if the version was found bad after its move was done.
	alarmed bool
	// lastLost is the time of the last loss that counted, by endpoint.
	lastLost map[string]time.Time
}

// Set holds the trials of one pool. A single duty owns it.
type Set struct {
	pool     string
	settings canary.Settings
	trials   map[core.Version]*Trial
	bad      map[core.Version]message.BadVersion
}

// NewSet returns an empty set with the default settings of the canary analysis.
func NewSet(pool string) *Set { return NewSetWith(pool, canary.DefaultSettings()) }

// NewSetWith returns an empty set with the given settings.
func NewSetWith(pool string, settings canary.Settings) *Set {
	return &Set{pool: pool, settings: settings, trials: map[core.Version]*Trial{}, bad: map[core.Version]message.BadVersion{}}
}

// Sync brings the trials in line with the planned moves and their stages. The
// version of a done move is still watched, unless the move was done when first
// seen: then there is no evidence to compare with.
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
	if stage == message.StageRamp || stage == message.StageSoak || done {
		t.monitor.StartRamp()
	}
	if done && t.doneAt.IsZero() {
		t.doneAt = now
		t.monitor.FreezeBaseline()
	}
}

// Reset drops the evidence; it is for an owner that has not seen all of it. The
// verdicts are kept.
func (s *Set) Reset() { clear(s.trials) }

// Bad reports whether a version was found bad here.
func (s *Set) Bad(v core.Version) bool {
	_, bad := s.bad[v]
	return bad
}

// Active reports whether a version is on trial and has not been found bad.
func (s *Set) Active(v core.Version) bool {
	t := s.trials[v]
	return t != nil && t.doneAt.IsZero() && !s.Bad(v)
}

// Evidence returns the evidence about a version by route.
func (s *Set) Evidence(v core.Version, now time.Time) []canary.RouteEvidence {
	if t := s.trials[v]; t != nil {
		return t.monitor.Evidence(now)
	}
	return nil
}

// Finding reports a version that has just been found bad.
type Finding struct {
	message.BadVersion
	Move string
	// MoveDone is set if the move was done, so that the version is in force:
	// no verdict can revert it, and operators must be alerted.
	MoveDone bool
}

// Observe adds an outcome to the trials and returns the findings that follow.
func (s *Set) Observe(o *core.Outcome, endpoint EndpointState, now time.Time) []Finding {
	observed, ok := observation(o, endpoint)
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

// newFinding returns a finding, at most once for each trial.
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

// accepts reports whether an outcome counts in the trial.
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

// minLossInterval is the shortest time between two losses on an endpoint that
// both count. An endpoint that dies loses all its attempts at once; that is one
// observation of its version.
const minLossInterval = time.Second

func (t *Trial) countsAsLoss(endpoint string, now time.Time) bool {
	if last, ok := t.lastLost[endpoint]; ok && now.Sub(last) < minLossInterval {
		return false
	}
	t.lastLost[endpoint] = now
	return true
}
