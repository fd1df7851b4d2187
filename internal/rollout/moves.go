package rollout

import (
	"context"

	"go.uber.org/zap"

	"kingcupcourse/internal/control"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/message"
)

// moves is the duty that follows the planned moves. It owns the stage that
// it last saw of each.
type moves struct {
	views  control.Subscription
	log    *zap.Logger
	stages map[string]message.Stage
}

// Serve implements supervisor.Duty.
func (m *moves) Serve(ctx context.Context) error {
	for {
		view, err := m.views.Take(ctx)
		if err != nil {
			return err
		}
		if view.Manifest != nil {
			m.follow(view)
		}
	}
}

func (m *moves) follow(view *control.View) {
	for _, move := range view.Manifest.Moves {
		stage := stageOf(view, move)
		if m.stages[move.Name] == stage {
			continue
		}
		m.stages[move.Name] = stage
		m.log.Info("planned move",
			zap.String("move", move.Name),
			zap.String("pool", move.Pool),
			zap.String("from_version", string(move.FromVersion)),
			zap.String("to_version", string(move.ToVersion)),
			zap.String("stage", string(stage)),
			zap.Int64("deadline_unix_ms", move.DeadlineUnixMS))
	}
}

// stageOf returns the stage that is known of a move, pending if none is.
func stageOf(view *control.View, move manifest.Move) message.Stage {
	if status, ok := view.Moves[move.Name]; ok {
		return status.Stage
	}
	return message.StagePending
}
