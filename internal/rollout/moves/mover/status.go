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

// readStatus reads how far the move has come and tells whether it could.
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
		m.log.Error("the name belongs to an earlier move; plan this one under a new name",
			zap.String("earlier_version", string(m.status.ToVersion)))
	}
	return true
}

// isNameTaken tells whether the status is that of an earlier move of the same
// name. Its stage says nothing about this move, which is not begun.
func (m *Mover) isNameTaken() bool {
	return m.statusVersion > 0 && (m.status.Pool != m.move.Pool ||
		m.status.FromVersion != m.move.FromVersion || m.status.ToVersion != m.move.ToVersion)
}

// writeStatus writes the status on the condition that it is still the one
// that the decision was made on, and tells all hosts. A conflict or an
// answer that stays unknown makes the mover read the status again: deciding
// twice from the same status does no harm.
func (m *Mover) writeStatus(ctx context.Context, next move.Status, known move.Inputs) {
	wanted := m.newStatus(next, known)
	outcome, version, err := m.config.Platform.PutRecover(ctx, m.statusKey(), m.statusVersion, wanted,
		func(object platform.Object) platform.Outcome { return sameStatus(object, wanted) })
	if outcome != platform.Applied {
		m.log.Warn("status not written", zap.String("stage", string(wanted.Stage)), zap.Error(err))
		m.statusLoaded = false
		return
	}
	m.status, m.statusVersion = wanted, version
	m.orders = orderProgress{}
	m.log.Info("stage", zap.String("stage", string(wanted.Stage)), zap.Float64("share", wanted.Share),
		zap.String("reason", wanted.Reason), zap.Uint64("fence", wanted.Fence), zap.Any("evidence", wanted.Evidence))
	m.publishStage()
}

func (m *Mover) newStatus(next move.Status, known move.Inputs) message.MoveStatus {
	return message.MoveStatus{
		MoveStage: message.MoveStage{Move: m.move.Name, Pool: m.move.Pool, ToVersion: m.move.ToVersion,
			Stage: next.Stage, Share: next.Share, Reason: next.Reason, Fence: m.lease.Fence},
		FromVersion:    m.move.FromVersion,
		DeadlineUnixMS: m.move.DeadlineUnixMS,
		SinceUnixMS:    next.Since.UnixMilli(),
		Holder:         m.holderID,
		Requests:       next.Requests,
		Evidence:       known.Evidence,
	}
}

func sameStatus(object platform.Object, wanted message.MoveStatus) platform.Outcome {
	var found message.MoveStatus
	if json.Unmarshal(object.Value, &found) == nil && found.MoveStage == wanted.MoveStage &&
		found.SinceUnixMS == wanted.SinceUnixMS && found.Holder == wanted.Holder {
		return platform.Applied
	}
	return platform.NotApplied
}

// publishStage tells all hosts the stage. A full ring loses nothing: every
// process also reads the status objects now and then.
func (m *Mover) publishStage() {
	value, err := json.Marshal(m.status.MoveStage)
	if err == nil {
		err = m.config.PublishFact(control.MoveFact(m.move.Name, m.statusVersion, value))
	}
	if err != nil {
		m.log.Warn("stage not told", zap.Error(err))
	}
}

// writeVerdict makes a verdict last and tells whether it does.
func (m *Mover) writeVerdict(ctx context.Context, bad *message.BadVersion) bool {
	if m.verdictWritten {
		return true
	}
	key := "verdicts/" + bad.Pool + "/" + string(bad.Version)
	_, err := m.config.Platform.Put(ctx, key, 0, bad)
	var conflict *platform.ConflictError
	// An object that is there already holds the same verdict, which is for
	// ever, so a conflict is as good as a write.
	if err != nil && !errors.As(err, &conflict) {
		m.log.Warn("verdict not written", zap.Error(err))
		return false
	}
	m.verdictWritten = true
	return true
}

// sendFinalOrders gives the last orders of a move that has ended and tells whether
// that is done or has been tried long enough.
func (m *Mover) sendFinalOrders(ctx context.Context) bool {
	if time.Since(time.UnixMilli(m.status.SinceUnixMS)) > finalOrdersTimeout {
		return true
	}
	m.sendOrders(ctx)
	return m.orders.complete
}

// finalOrdersTimeout bounds how long last orders are tried: an endpoint that is gone
// never obeys, and the order has no effect on where requests go.
const finalOrdersTimeout = time.Minute
