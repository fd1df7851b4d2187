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
	// leaseTime is how long a record must have stood unchanged for another
	// host to take the move over, on the clock of that host.
	leaseTime = 2 * time.Second
	// renewPeriod is the time between two renewals.
	renewPeriod = 700 * time.Millisecond
)

// take tries to become the holder of a move: if it has no record of this
// order, if this host has written it, or if its holder has let the lease
// lapse.
func (d *Duty) take(ctx context.Context, m *move, now time.Time) {
	found, err := d.Store.Get(ctx, m.key())
	missing := errors.Is(err, platform.ErrNotFound)
	if err != nil && !missing {
		d.Log.Warn("move's record not read", zap.String("service", m.order.Service), zap.String("error", err.Error()))
		return
	}
	var stored record
	if !missing {
		if err := json.Unmarshal(found.Value, &stored); err != nil {
			d.Log.Warn("move's record not understood, it is replaced", zap.String("service", m.order.Service),
				zap.Uint64("revision", found.Version), zap.String("error", err.Error()))
		}
	}
	m.revision = found.Version
	if stored.Order != m.order.ID || stored.Target != m.order.Target {
		m.status = decision.Status{}
		d.hold(ctx, m, now, "")
		return
	}
	m.adopt(stored, now)
	if stored.Holder == d.Host || m.lapsed(found.Version, now) {
		d.hold(ctx, m, now, stored.Holder)
	}
}

// lapsed tells whether the record has stood unchanged for the time of a lease.
func (m *move) lapsed(revision uint64, now time.Time) bool {
	if m.seen != revision {
		m.seen, m.seenSince = revision, now
	}
	return now.Sub(m.seenSince) >= leaseTime
}

// adopt goes on from a record. The times in it are relative to the order, so
// that hosts need no common clock.
func (m *move) adopt(stored record, now time.Time) {
	if began := now.Add(-milliseconds(stored.ElapsedMS)); began.Before(m.began) {
		m.began = began
		m.schedule()
	}
	m.beat = stored.Beat
	m.status = decision.Status{Stage: stored.Stage, Share: stored.Share, Requests: stored.Requests,
		Reason: stored.Reason, Since: m.began.Add(milliseconds(stored.SinceMS))}
}

// hold writes this host into the record.
func (d *Duty) hold(ctx context.Context, m *move, now time.Time, before string) {
	if before != d.Host { // evidence that this host has not seen is missing
		m.set = newTrials(m.order.Service)
	}
	if m.held = d.write(ctx, m, m.status, now) == nil; m.held {
		d.Log.Info("move held", zap.String("service", m.order.Service), zap.String("target", string(m.order.Target)),
			zap.String("stage", string(m.status.Stage)), zap.String("holder_before", before),
			zap.Duration("after", now.Sub(m.began)), zap.Uint64("revision", m.revision))
	}
}

// write writes the record with a status. A conflict tells that another host
// holds the move, or that an earlier write of this one took effect although its
// answer was lost; taking the move again finds out which.
func (d *Duty) write(ctx context.Context, m *move, status decision.Status, now time.Time) error {
	m.beat++
	revision, err := d.Store.Put(ctx, m.key(), m.revision, record{
		Order: m.order.ID, Target: m.order.Target, Holder: d.Host, Beat: m.beat,
		Stage: status.Stage, Share: status.Share, Requests: status.Requests, Reason: status.Reason,
		ElapsedMS: now.Sub(m.began).Milliseconds(), SinceMS: max(0, status.Since.Sub(m.began).Milliseconds()),
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
	m.revision, m.written = revision, now
	return nil
}

// step lets a held move go on.
func (d *Duty) step(ctx context.Context, m *move, now time.Time) {
	m.watch(now)
	known := decision.Inputs{Bad: m.bad, Ready: m.ready, Evidence: m.set.Evidence(m.order.Target, now)}
	next := decision.Next(m.plan, m.status, now, known)
	if changed := next.Stage != m.status.Stage || next.Share != m.status.Share; changed {
		d.enter(ctx, m, next, known.Evidence, now)
	} else if now.Sub(m.written) >= renewPeriod {
		// While the store does not answer, the stage stays as it is: nobody
		// can take the move, and requests go on to show how the version is.
		_ = d.write(ctx, m, m.status, now)
	}
	d.answer(ctx, m, now)
}

// enter goes to another stage.
func (d *Duty) enter(ctx context.Context, m *move, next decision.Status, evidence []canary.RouteEvidence, now time.Time) {
	if next.Share < m.status.Share {
		m.status.Share = next.Share
		d.publish()
	}
	if d.write(ctx, m, next, now) != nil {
		return // the next tick tries again
	}
	m.status = next
	d.Log.Info("move's stage", zap.String("service", m.order.Service), zap.String("target", string(m.order.Target)),
		zap.String("stage", string(next.Stage)), zap.Float64("share", next.Share), zap.String("reason", next.Reason),
		zap.Any("evidence", evidence),
		zap.Duration("after", now.Sub(m.began)), zap.Uint64("revision", m.revision))
}

// answer tells the operator how far the move is. The record was written before,
// so that no two hosts can tell of different ends.
func (d *Duty) answer(ctx context.Context, m *move, now time.Time) {
	state := catalog.OrderActive
	switch {
	case !m.held:
		return
	case m.status.Stage == message.StageReverted:
		state = catalog.OrderRolledBack
	case m.status.Stage == message.StageDone && m.drained(now):
		state = catalog.OrderSucceeded
	}
	if state == m.order.State {
		return
	}
	revision, err := d.Store.PutStatus(ctx, d.Decoder.OrderKey(m.order.Service), m.order.Revision,
		d.Decoder.OrderStatus(m.order, state))
	if err != nil {
		// It is written again with the revision that the watch brings.
		d.Log.Warn("order not answered", zap.String("service", m.order.Service), zap.String("error", err.Error()))
		return
	}
	m.order.State, m.order.Revision = state, revision
	d.Log.Info("order answered", zap.String("service", m.order.Service), zap.Int("state", int(state)),
		zap.String("reason", m.status.Reason), zap.Duration("after", now.Sub(m.began)), zap.Uint64("revision", revision))
}

// drained tells whether the old version may stop: what ran on it when the move
// was done has had its time, or the deadline is there.
func (m *move) drained(now time.Time) bool {
	return now.Sub(m.status.Since) >= drainTime || !now.Before(m.plan.Deadline)
}

func (d *Duty) logFound(m *move, found trial.Finding) {
	d.Log.Warn("version found bad", zap.String("service", m.order.Service), zap.String("version", string(found.Version)),
		zap.String("route", found.Route), zap.String("reason", found.Reason), zap.String("stage", string(m.status.Stage)),
		zap.Bool("done_before", found.MoveDone))
}

func (m *move) key() string { return recordsPrefix + "/" + m.order.Service }

func milliseconds(value int64) time.Duration { return time.Duration(value) * time.Millisecond }
