package share

import (
	"slices"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/move"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/message"
)

// Cap bounds the traffic of a version that a move is about.
type Cap struct {
	// Share is the largest share of the pool's traffic, from 0 to 1.
	Share float64
	// Until is when the version gets none whatever its stage was: the time
	// at which a move that is not done must be taken back to be whole again
	// at its deadline. It needs no message, so it also holds while the
	// platform is away. Zero for no such time.
	Until time.Time
}

// At returns the largest share at a time.
func (c Cap) At(now time.Time) float64 {
	if !c.Until.IsZero() && !now.Before(c.Until) {
		return 0
	}
	return c.Share
}

// Caps returns the caps of a pool's versions; a version without one may get
// all traffic. The target of a move gets none before the canary stage, after
// a revert and after the move was withdrawn, and the version that a done move
// leaves gets none.
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

// capWithdrawn caps the targets of moves that were begun and that the
// manifest no longer has: without their move they are as unproved as before.
// A pool that has no other version any more is left alone.
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

// hasUncappedVersion tells whether the pool has a version that is neither capped nor
// withdrawn.
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

// StageOf returns the stage of a planned move; the zero stage if none is
// known, or only that of a move with the same name to another version.
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
