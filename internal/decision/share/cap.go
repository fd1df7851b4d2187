package share

import (
	"slices"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/move"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/message"
)

// Cap limits the traffic of a version that is part of a move.
type Cap struct {
	// Share is the largest share of the pool's traffic, from 0 to 1.
	Share float64
	// Until is when the version stops getting traffic, whatever the stage:
	// the time at which a move that is not done must be reverted, so that the
	// revert is complete by the deadline. It needs no message, so it also
	// works while the platform is unavailable. Zero means no such time.
	Until time.Time
}

// At returns the largest share at the given time.
func (c Cap) At(now time.Time) float64 {
	if !c.Until.IsZero() && !now.Before(c.Until) {
		return 0
	}
	return c.Share
}

// Caps returns the caps of a pool's versions; a version without one may get all
// traffic. The target of a move gets none before the canary stage, after a
// revert and after the move was withdrawn. The source version of a move that is
// done gets none.
func Caps(pool string, m *manifest.Manifest, stages map[string]message.MoveStage) map[core.Version]Cap {
	caps := map[core.Version]Cap{}
	if m == nil {
		return caps
	}
	for _, planned := range m.Moves {
		if planned.Pool != pool {
			continue
		}
		stage := StageOf(planned, stages)
		if stage.Stage == message.StageDone {
			caps[planned.FromVersion] = Cap{}
			continue
		}
		caps[planned.ToVersion] = Cap{Share: targetShare(stage),
			Until: time.UnixMilli(planned.DeadlineUnixMS).Add(-move.DefaultRevertMargin)}
	}
	capWithdrawn(caps, pool, m, stages)
	return caps
}

// capWithdrawn caps the targets of moves that have begun and that the manifest no
// longer has: without a move they are unproved. If this would leave the pool no
// uncapped version, nothing is capped.
func capWithdrawn(caps map[core.Version]Cap, pool string, m *manifest.Manifest, stages map[string]message.MoveStage) {
	proved := map[core.Version]bool{}
	for _, stage := range stages {
		if stage.Pool == pool && stage.Stage == message.StageDone {
			proved[stage.ToVersion] = true
		}
	}
	withdrawn := map[core.Version]bool{}
	for name, stage := range stages {
		_, capped := caps[stage.ToVersion]
		if stage.Pool == pool && !capped && !proved[stage.ToVersion] && !isPlanned(m, name) {
			withdrawn[stage.ToVersion] = true
		}
	}
	if !hasUncappedVersion(pool, m, caps, withdrawn) {
		return
	}
	for version := range withdrawn {
		caps[version] = Cap{}
	}
}

func isPlanned(m *manifest.Manifest, name string) bool {
	return slices.ContainsFunc(m.Moves, func(p manifest.Move) bool { return p.Name == name })
}

// hasUncappedVersion reports whether the pool has a version that is neither
// capped nor withdrawn.
func hasUncappedVersion(pool string, m *manifest.Manifest, caps map[core.Version]Cap, withdrawn map[core.Version]bool) bool {
	for _, p := range m.Pools {
		for _, e := range p.Endpoints {
			if _, capped := caps[e.Version]; p.Name == pool && !capped && !withdrawn[e.Version] {
				return true
			}
		}
	}
	return false
}

// StageOf returns the stage of a planned move. It returns the zero stage if none
// is known, or if the known one is of a move with the same name to another
// version.
func StageOf(planned manifest.Move, stages map[string]message.MoveStage) message.MoveStage {
	stage := stages[planned.Name]
	if stage.ToVersion != planned.ToVersion {
		return message.MoveStage{}
	}
	return stage
}

func targetShare(stage message.MoveStage) float64 {
	switch stage.Stage {
	case message.StageCanary, message.StageRamp, message.StageSoak:
		return stage.Share
	}
	return 0
}
