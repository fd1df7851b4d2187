package mover

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/control"
	"kingcupcourse/internal/decision/move"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/platform"
)

func (m *Mover) statusKey() string { return "status/moves/" + m.move.Name }

// readStatus reads the stored status of the move. It returns false if the
// status could not be read.
func (m *Mover) readStatus(ctx context.Context) bool {
	object, err := m.config.Platform.Get(ctx, m.statusKey())
	m.status, m.statusVersion = message.MoveStatus{}, 0
	switch {
	case errors.Is(err, platform.ErrNotFound):
	case err != nil:
		return false
	default:
		if err := json.Unmarshal(object.Value, &m.status); err != nil {
			m.log.Error("status object malformed", zap.Error(err))
			return false
		}
		m.statusVersion = object.Version
	}
	m.statusLoaded = true
	if m.isNameTaken() {
		m.log.Error("move name already used by an earlier move; plan this one under a new name",
			zap.String("earlier_version", string(m.status.ToVersion)))
	}
	return true
}

// isNameTaken reports whether the status belongs to an earlier move of the same
// name. Its stage does not apply to this move, which is not started.
func (m *Mover) isNameTaken() bool {
	return m.statusVersion > 0 && (m.status.Pool != m.move.Pool ||
		m.status.FromVersion != m.move.FromVersion || m.status.ToVersion != m.move.ToVersion)
}

// writeStatus writes the status if the stored one is still that on which the
// decision was based, and publishes the stage to all hosts. After a conflict or
// an unknown outcome the mover reads the status again: it is safe to decide
// twice from the same status.
func (m *Mover) writeStatus(ctx context.Context, next move.Status, inputs move.Inputs) {
	wanted := m.newStatus(next, inputs)
	outcome, version, err := m.config.Platform.PutRecover(ctx, m.statusKey(), m.statusVersion, wanted,
		func(object platform.Object) platform.Outcome { return statusWriteOutcome(object, wanted) })
	if outcome != platform.Applied {
		m.log.Warn("status write failed", zap.String("stage", string(wanted.Stage)), zap.Error(err))
		m.statusLoaded = false
		return
	}
	m.status, m.statusVersion = wanted, version
	m.orders = orderProgress{}
	m.log.Info("stage", zap.String("stage", string(wanted.Stage)), zap.Float64("share", wanted.Share),
		zap.String("reason", wanted.Reason), zap.Uint64("fence", wanted.Fence), zap.Any("evidence", wanted.Evidence))
	m.publishStage()
}

func (m *Mover) newStatus(next move.Status, inputs move.Inputs) message.MoveStatus {
	return message.MoveStatus{
		MoveStage: message.MoveStage{Move: m.move.Name, Pool: m.move.Pool, ToVersion: m.move.ToVersion,
			Stage: next.Stage, Share: next.Share, Reason: next.Reason, Fence: m.lease.Fence},
		FromVersion:    m.move.FromVersion,
		DeadlineUnixMS: m.move.DeadlineUnixMS,
		SinceUnixMS:    next.Since.UnixMilli(),
		Holder:         m.holderID,
		Requests:       next.Requests,
		Evidence:       inputs.Evidence,
	}
}

// statusWriteOutcome derives the outcome of a status write, after a lost response
// or a conflict, from the object that is stored now.
func statusWriteOutcome(object platform.Object, wanted message.MoveStatus) platform.Outcome {
	var found message.MoveStatus
	if json.Unmarshal(object.Value, &found) == nil && found.MoveStage == wanted.MoveStage &&
		found.SinceUnixMS == wanted.SinceUnixMS && found.Holder == wanted.Holder {
		return platform.Applied
	}
	return platform.NotApplied
}

// publishStage sends the stage to all hosts. A full ring loses nothing, since
// every process also reads the status objects periodically.
func (m *Mover) publishStage() {
	value, err := json.Marshal(m.status.MoveStage)
	if err == nil {
		err = m.config.PublishFact(control.MoveFact(m.move.Name, m.statusVersion, value))
	}
	if err != nil {
		m.log.Warn("failed to publish stage", zap.Error(err))
	}
}

// writeVerdict stores a verdict and reports whether it is stored.
func (m *Mover) writeVerdict(ctx context.Context, bad *message.BadVersion) bool {
	if m.verdictWritten {
		return true
	}
	key := "verdicts/" + bad.Pool + "/" + string(bad.Version)
	_, err := m.config.Platform.Put(ctx, key, 0, bad)
	var conflict *platform.ConflictError
	// An existing object holds the same verdict, and verdicts are permanent,
	// so a conflict counts as success.
	if err != nil && !errors.As(err, &conflict) {
		m.log.Warn("verdict write failed", zap.Error(err))
		return false
	}
	m.verdictWritten = true
	return true
}

// sendFinalOrders sends the final orders of an ended move. It reports whether
// all were accepted or the time for them has passed.
func (m *Mover) sendFinalOrders(ctx context.Context) bool {
	if time.Since(time.UnixMilli(m.status.SinceUnixMS)) > finalOrdersTimeout {
		return true
	}
	m.sendOrders(ctx)
	return m.orders.complete
}

// finalOrdersTimeout limits how long final orders are retried: an endpoint that
// is gone never accepts them, and they have no effect on the routing of
// requests.
const finalOrdersTimeout = time.Minute
