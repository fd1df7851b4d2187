package moves

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/decision/canary"
	"kingcupcourse/internal/decision/catalog"
	decision "kingcupcourse/internal/decision/move"
	"kingcupcourse/internal/decision/trial"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/platform"
)

const (
	// leaseDuration is how long a record must be unchanged before another host
	// may take over the move, measured by the clock of that host.
	leaseDuration = 2 * time.Second
	// renewPeriod is the time between two renewals of the lease.
	renewPeriod = 700 * time.Millisecond
)

// tryAcquire takes over a move if the store has no record for its order, if this
// host wrote the record, or if the holder's lease has expired.
func (d *Duty) tryAcquire(ctx context.Context, m *move, now time.Time) {
	found, err := d.Store.Get(ctx, m.recordKey())
	missing := errors.Is(err, platform.ErrNotFound)
	if err != nil && !missing {
		d.Log.Warn("reading the move's record failed", zap.String("service", m.order.Service), zap.String("error", err.Error()))
		return
	}
	var stored record
	if !missing {
		if err := json.Unmarshal(found.Value, &stored); err != nil {
			d.Log.Warn("invalid move record, it is replaced", zap.String("service", m.order.Service),
				zap.Uint64("revision", found.Version), zap.String("error", err.Error()))
		}
	}
	m.revision = found.Version
	if stored.OrderID != m.order.ID || stored.Target != m.order.Target {
		m.status = decision.Status{}
		d.acquire(ctx, m, now, "")
		return
	}
	m.restore(stored, now)
	if stored.Holder == d.Host || m.leaseExpired(found.Version, now) {
		d.acquire(ctx, m, now, stored.Holder)
	}
}

// leaseExpired reports whether the record has been unchanged for leaseDuration.
func (m *move) leaseExpired(revision uint64, now time.Time) bool {
	if m.seenRevision != revision {
		m.seenRevision, m.seenSince = revision, now
	}
	return now.Sub(m.seenSince) >= leaseDuration
}

// restore restores the state of a move from its record. The record's times are
// relative to the order, so hosts need no synchronised clocks.
func (m *move) restore(stored record, now time.Time) {
	if orderedAt := now.Add(-milliseconds(stored.ElapsedMS)); orderedAt.Before(m.orderedAt) {
		m.orderedAt = orderedAt
		m.schedule()
	}
	m.heartbeat = stored.Heartbeat
	m.status = decision.Status{Stage: stored.Stage, Share: stored.Share, Requests: stored.Requests,
		Reason: stored.Reason, Since: m.orderedAt.Add(milliseconds(stored.StageStartMS))}
}

// acquire records this host as the holder of the move.
func (d *Duty) acquire(ctx context.Context, m *move, now time.Time, previousHolder string) {
	if previousHolder != d.Host { // this host lacks the evidence of the previous holder
		m.trials = newTrials(m.order.Service)
	}
	if m.held = d.writeRecord(ctx, m, m.status, now) == nil; m.held {
		d.Log.Info("move held", zap.String("service", m.order.Service), zap.String("target", string(m.order.Target)),
			zap.String("stage", string(m.status.Stage)), zap.String("holder_before", previousHolder),
			zap.Duration("after", now.Sub(m.orderedAt)), zap.Uint64("revision", m.revision))
	}
}

// writeRecord writes the record with a status. A conflict means that another
// host holds the move, or that an earlier write of this host succeeded although
// its response was lost. Reacquiring the move resolves which.
func (d *Duty) writeRecord(ctx context.Context, m *move, status decision.Status, now time.Time) error {
	m.heartbeat++
	revision, err := d.Store.Put(ctx, m.recordKey(), m.revision, record{
		OrderID: m.order.ID, Target: m.order.Target, Holder: d.Host, Heartbeat: m.heartbeat,
		Stage: status.Stage, Share: status.Share, Requests: status.Requests, Reason: status.Reason,
		ElapsedMS: now.Sub(m.orderedAt).Milliseconds(), StageStartMS: max(0, status.Since.Sub(m.orderedAt).Milliseconds()),
	})
	if err != nil {
		d.Log.Warn("move's record not written", zap.String("service", m.order.Service),
			zap.String("stage", string(status.Stage)), zap.String("error", err.Error()))
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) {
			m.held = false
		}
		return err
	}
	m.revision, m.lastWrite = revision, now
	return nil
}

// advance evaluates a held move and enters its next stage if one is due.
func (d *Duty) advance(ctx context.Context, m *move, now time.Time) {
	m.syncTrials(now)
	inputs := decision.Inputs{Bad: m.badVersion, Ready: m.targetReady, Evidence: m.trials.Evidence(m.order.Target, now)}
	next := decision.Next(m.plan, m.status, now, inputs)
	if changed := next.Stage != m.status.Stage || next.Share != m.status.Share; changed {
		d.enterStage(ctx, m, next, inputs.Evidence, now)
	} else if now.Sub(m.lastWrite) >= renewPeriod {
		// An error is ignored. During an outage of the store the stage stays as
		// it is: no host can take over the move, and requests continue to yield
		// evidence about the version.
		_ = d.writeRecord(ctx, m, m.status, now)
	}
	d.reportStatus(ctx, m, now)
}

// enterStage moves to another stage or share. A lower share takes effect before
// it is written, any other change after it.
func (d *Duty) enterStage(ctx context.Context, m *move, next decision.Status, evidence []canary.RouteEvidence, now time.Time) {
	if next.Share < m.status.Share {
		m.status.Share = next.Share
		d.publish()
	}
	if d.writeRecord(ctx, m, next, now) != nil {
		return // retried at the next tick
	}
	m.status = next
	d.Log.Info("move's stage", zap.String("service", m.order.Service), zap.String("target", string(m.order.Target)),
		zap.String("stage", string(next.Stage)), zap.Float64("share", next.Share), zap.String("reason", next.Reason),
		zap.Any("evidence", evidence),
		zap.Duration("after", now.Sub(m.orderedAt)), zap.Uint64("revision", m.revision))
}

// reportStatus writes the order's status for the operator. The record is written
// first, so two hosts cannot report different results.
func (d *Duty) reportStatus(ctx context.Context, m *move, now time.Time) {
	state := catalog.OrderActive
	switch {
	case !m.held:
		return
	case m.status.Stage == message.StageReverted:
		state = catalog.OrderRolledBack
	case m.status.Stage == message.StageDone && m.drained(now):
		state = catalog.OrderSucceeded
	}
	if state != m.order.State {
		d.writeStatus(ctx, m, state, now)
	}
}

func (d *Duty) writeStatus(ctx context.Context, m *move, state catalog.OrderState, now time.Time) {
	revision, err := d.Store.PutStatus(ctx, d.Decoder.OrderKey(m.order.Service), m.order.Revision,
		d.Decoder.OrderStatus(m.order, state))
	if err != nil {
		// The write is retried with the revision that the watch delivers.
		d.Log.Warn("writing the order's status failed", zap.String("service", m.order.Service), zap.String("error", err.Error()))
		return
	}
	m.order.State, m.order.Revision, m.statusLost = state, revision, false
	d.Log.Info("order answered", zap.String("service", m.order.Service), zap.Int("state", int(state)),
		zap.String("reason", m.status.Reason), zap.Duration("after", now.Sub(m.orderedAt)), zap.Uint64("revision", revision))
}

// drained reports whether the old version may be stopped: the requests that ran
// on it when the move was done have had maxDrainTime to finish, or the deadline
// has passed.
func (m *move) drained(now time.Time) bool {
	return now.Sub(m.status.Since) >= maxDrainTime || !now.Before(m.plan.Deadline)
}

func (d *Duty) logFinding(m *move, finding trial.Finding) {
	d.Log.Warn("version found bad", zap.String("service", m.order.Service), zap.String("version", string(finding.Version)),
		zap.String("route", finding.Route), zap.String("reason", finding.Reason), zap.String("stage", string(m.status.Stage)),
		zap.Bool("done_before", finding.MoveDone))
}

func (m *move) recordKey() string { return recordsPrefix + "/" + m.order.Service }

func milliseconds(value int64) time.Duration { return time.Duration(value) * time.Millisecond }
