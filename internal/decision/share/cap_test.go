package share

import (
	"testing"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/move"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/message"
)

// Each row gives the shares of the old and the new version that one move allows,
// just before the revert time and at it; -1 means no cap.
func TestCaps(t *testing.T) {
	deadline := time.Unix(1000, 0)
	m := &manifest.Manifest{Moves: []manifest.Move{{Name: "m", Pool: "p", FromVersion: "v1", ToVersion: "v2",
		DeadlineUnixMS: deadline.UnixMilli()}}}
	cases := []struct {
		stage        message.Stage
		version      core.Version
		before, late [2]float64
	}{
		{"", "v2", [2]float64{-1, 0}, [2]float64{-1, 0}},
		{message.StageLoading, "v2", [2]float64{-1, 0}, [2]float64{-1, 0}},
		{message.StageCanary, "v2", [2]float64{-1, 0.3}, [2]float64{-1, 0}},
		{message.StageRamp, "v2", [2]float64{-1, 0.3}, [2]float64{-1, 0}},
		{message.StageSoak, "v2", [2]float64{-1, 0.3}, [2]float64{-1, 0}},
		{message.StageDone, "v2", [2]float64{0, -1}, [2]float64{0, -1}},
		{message.StageReverted, "v2", [2]float64{-1, 0}, [2]float64{-1, 0}},
		{message.StageDone, "v3", [2]float64{-1, 0}, [2]float64{-1, 0}}, // stage of an earlier move with the same name
	}
	for _, c := range cases {
		stages := map[string]message.MoveStage{"m": {Stage: c.stage, Share: 0.3, ToVersion: c.version}}
		caps := Caps("p", m, stages)
		at := func(now time.Time) (shares [2]float64) {
			for i, v := range []core.Version{"v1", "v2"} {
				shares[i] = -1
				if limit, capped := caps[v]; capped {
					shares[i] = limit.At(now)
				}
			}
			return shares
		}
		late := deadline.Add(-move.DefaultRevertMargin)
		if before := at(late.Add(-time.Millisecond)); before != c.before || at(late) != c.late {
			t.Errorf("%s of %s: got %v and %v, want %v and %v", c.stage, c.version, before, at(late), c.before, c.late)
		}
	}
}

func TestTargetOfWithdrawnMoveGetsNoTraffic(t *testing.T) {
	pool := func(versions ...core.Version) *manifest.Manifest {
		p := manifest.Pool{Name: "p"}
		for _, v := range versions {
			p.Endpoints = append(p.Endpoints, manifest.Endpoint{Version: v})
		}
		return &manifest.Manifest{Pools: []manifest.Pool{p}}
	}
	stages := func(stage message.Stage) map[string]message.MoveStage {
		return map[string]message.MoveStage{"m": {Move: "m", Pool: "p", Stage: stage, Share: 0.5, ToVersion: "v2"}}
	}
	for _, c := range []struct {
		m      *manifest.Manifest
		stage  message.Stage
		capped bool
	}{
		{pool("v1", "v2"), message.StageRamp, true},
		{pool("v1", "v2"), message.StageReverted, true},
		{pool("v1", "v2"), message.StageDone, false},
		{pool("v2"), message.StageReverted, false}, // operators have replaced v1
	} {
		limit, capped := Caps("p", c.m, stages(c.stage))["v2"]
		if capped != c.capped || limit.Share != 0 {
			t.Errorf("%v %s: got %+v %v", c.m.Pools, c.stage, limit, capped)
		}
	}
}
