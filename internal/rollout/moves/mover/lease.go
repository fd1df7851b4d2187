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

// keepLease tells whether the mover holds the lease, after taking or
// renewing it if that is due.
func (m *Mover) keepLease(ctx context.Context) bool {
	now := time.Now()
	if m.holding && !m.held.Valid(now) {
		m.stepDown("the lease has run out")
	}
	switch {
	case !m.holding:
		return m.takeLease(ctx, now)
	case now.Before(m.held.RenewAt(m.config.Lease)):
		return true
	default:
		return m.putLease(ctx, m.held.Renewed(now, m.config.Lease), m.leaseVersion)
	}
}

func (m *Mover) takeLease(ctx context.Context, now time.Time) bool {
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
	m.loaded = false
	taken := m.putLease(ctx, lease.Acquired(m.holder, object.Version, now, m.config.Lease), object.Version)
	if taken {
		m.log.Info("lease taken", zap.Uint64("fence", m.held.Fence), zap.String("previous", current.Holder))
	}
	return taken
}

// putLease writes the lease. After a lost answer the lease is read back; only
// a lease that is known to be written counts. While the platform is down a
// lease that still runs goes on.
func (m *Mover) putLease(ctx context.Context, wanted lease.Lease, ifVersion uint64) bool {
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
		m.held, m.leaseVersion, m.holding = wanted, version, true
	case m.holding && errors.As(err, &conflict):
		m.stepDown("another host has the lease")
	case m.holding:
		m.log.Warn("lease not renewed", zap.Error(err))
	}
	return m.holding && m.held.Valid(time.Now())
}

func (m *Mover) stepDown(why string) {
	m.log.Warn("lease lost", zap.String("why", why), zap.Uint64("fence", m.held.Fence))
	m.holding, m.loaded = false, false
}

// giveBack frees the lease for the next holder when the process stops.
func (m *Mover) giveBack(ctx context.Context) {
	if !m.holding {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	m.holding = false
	if _, err := m.config.Platform.Put(ctx, m.leaseKey(), m.leaseVersion, m.held.Released()); err != nil {
		m.log.Info("lease not given back; it will run out", zap.Error(err))
	}
}
