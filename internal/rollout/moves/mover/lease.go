package mover

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/decision/lease"
	"kingcupcourse/internal/platform"
)

func (m *Mover) leaseKey() string { return "leases/moves/" + m.move.Name }

// ensureLease acquires the lease, or renews it if that is due. It reports
// whether the mover holds the lease.
func (m *Mover) ensureLease(ctx context.Context) bool {
	now := time.Now()
	if m.holdsLease && !m.lease.Valid(now) {
		m.dropLease("the lease has expired")
	}
	switch {
	case !m.holdsLease:
		return m.acquireLease(ctx, now)
	case now.Before(m.lease.RenewAt(m.config.LeaseDuration)):
		return true
	default:
		return m.writeLease(ctx, m.lease.Renewed(now, m.config.LeaseDuration), m.leaseVersion)
	}
}

func (m *Mover) acquireLease(ctx context.Context, now time.Time) bool {
	object, err := m.config.Platform.Get(ctx, m.leaseKey())
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return false
	}
	var current lease.Lease
	if err == nil && json.Unmarshal(object.Value, &current) != nil {
		m.log.Error("lease object malformed, replacing it")
	}
	if !current.Available(now) {
		return false
	}
	m.statusLoaded = false
	acquired := m.writeLease(ctx, lease.Acquired(m.holderID, object.Version, now, m.config.LeaseDuration), object.Version)
	if acquired {
		m.log.Info("lease acquired", zap.Uint64("fence", m.lease.Fence), zap.String("previous", current.Holder))
	}
	return acquired
}

// writeLease writes the lease. After a lost response or a conflict the lease is
// read back: it is held only if the write is known to have been applied. While
// the platform is down, the current lease stays valid until it expires.
func (m *Mover) writeLease(ctx context.Context, wanted lease.Lease, ifVersion uint64) bool {
	outcome, version, err := m.config.Platform.PutRecover(ctx, m.leaseKey(), ifVersion, wanted,
		func(object platform.Object) platform.Outcome {
			var found lease.Lease
			if json.Unmarshal(object.Value, &found) == nil && found == wanted {
				return platform.Applied
			}
			return platform.NotApplied
		})
	var conflict *platform.ConflictError
	switch {
	case outcome == platform.Applied:
		m.lease, m.leaseVersion, m.holdsLease = wanted, version, true
	case m.holdsLease && errors.As(err, &conflict):
		m.dropLease("another host holds the lease")
	case m.holdsLease:
		m.log.Warn("lease renewal failed", zap.Error(err))
	}
	return m.holdsLease && m.lease.Valid(time.Now())
}

func (m *Mover) dropLease(reason string) {
	m.log.Warn("lease lost", zap.String("why", reason), zap.Uint64("fence", m.lease.Fence))
	m.holdsLease, m.statusLoaded = false, false
}

// releaseLease releases the lease for the next holder when the process stops.
func (m *Mover) releaseLease(ctx context.Context) {
	if !m.holdsLease {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	m.holdsLease = false
	if _, err := m.config.Platform.Put(ctx, m.leaseKey(), m.leaseVersion, m.lease.Released()); err != nil {
		m.log.Info("lease release failed; it stays valid until it expires", zap.Error(err))
	}
}
