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

// ensureLease tells whether the mover holds the lease, after taking or
// renewing it if that is due.
func (m *Mover) ensureLease(ctx context.Context) bool {
	now := time.Now()
	if m.holdsLease && !m.lease.Valid(now) {
		m.dropLease("the lease has run out")
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
		m.log.Error("the lease object is malformed and will be replaced")
	}
	if !current.Available(now) {
		return false
	}
	m.statusLoaded = false
	taken := m.writeLease(ctx, lease.Acquired(m.holderID, object.Version, now, m.config.LeaseDuration), object.Version)
	if taken {
		m.log.Info("lease taken", zap.Uint64("fence", m.lease.Fence), zap.String("previous", current.Holder))
	}
	return taken
}

// writeLease writes the lease. After a lost answer the lease is read back; only
// a lease that is known to be written counts. While the platform is down a
// lease that still runs goes on.
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
		m.dropLease("another host has the lease")
	case m.holdsLease:
		m.log.Warn("lease not renewed", zap.Error(err))
	}
	return m.holdsLease && m.lease.Valid(time.Now())
}

func (m *Mover) dropLease(why string) {
	m.log.Warn("lease lost", zap.String("why", why), zap.Uint64("fence", m.lease.Fence))
	m.holdsLease, m.statusLoaded = false, false
}

// releaseLease frees the lease for the next holder when the process stops.
func (m *Mover) releaseLease(ctx context.Context) {
	if !m.holdsLease {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	m.holdsLease = false
	if _, err := m.config.Platform.Put(ctx, m.leaseKey(), m.leaseVersion, m.lease.Released()); err != nil {
		m.log.Info("lease not given back; it will run out", zap.Error(err))
	}
}
