package queue

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/control"
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/outstanding"
	"kingcupcourse/internal/decision/ownership"
	waitlist "kingcupcourse/internal/decision/queue"
	"kingcupcourse/internal/decision/share"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/scheduler/inbox"
)

const (
	defaultQueueRequests = 1024
	defaultQueueTokens   = 4_000_000
	defaultWeight        = 1
)

// applyView updates the manifest, the traffic caps, the ownership and the trials
// from a newer view.
func (d *Duty) applyView(view *control.View, now time.Time) {
	newManifest := d.view == nil || d.view.ManifestVersion != view.ManifestVersion
	d.view = view
	if view.Manifest != nil && newManifest {
		d.applyManifest(view.Manifest)
	}
	for _, member := range view.Members {
		d.hostZones[member.Host] = member.AvailabilityZone
	}
	d.trafficCaps = share.Caps(d.Shard.Pool, view.Manifest, view.Moves)
	d.updateOwnership(now)
	if view.Manifest != nil {
		d.trials.Sync(view.Manifest, view.Moves, now)
	}
}

func (d *Duty) applyManifest(m *manifest.Manifest) {
	for _, pool := range m.Pools {
		if pool.Name == d.Shard.Pool {
			d.pool = pool
		}
	}
	d.waiting.SetLimits(waitlist.Limits{
		Requests: orDefault(d.pool.QueueRequests, defaultQueueRequests),
		Tokens:   orDefault(d.pool.QueueTokens, defaultQueueTokens),
	})
	clear(d.accountWeights)
	for _, account := range m.ClientAccounts {
		d.accountWeights[account.Name] = orDefault(account.Weight, defaultWeight)
	}
	clear(d.routes)
	for _, route := range m.Routes {
		if route.Pool == d.Shard.Pool {
			d.routes[route.Name] = route
		}
	}
	d.updateEndpoints(ShardEndpoints(m, d.Shard))
}

// ShardEndpoints returns the endpoints of the shard's pool that are in the
// shard's region.
func ShardEndpoints(m *manifest.Manifest, shard ownership.Shard) []core.Endpoint {
	zones := map[core.AvailabilityZone]bool{}
	for _, region := range m.Regions {
		if region.Name != shard.Region {
			continue
		}
		for _, zone := range region.AvailabilityZones {
			zones[zone] = true
		}
	}
	var endpoints []core.Endpoint
	for _, pool := range m.Pools {
		if pool.Name != shard.Pool {
			continue
		}
		for _, e := range pool.Endpoints {
			if zones[e.AvailabilityZone] {
				endpoints = append(endpoints, coreEndpoint(pool.Name, e))
			}
		}
	}
	return endpoints
}

func coreEndpoint(pool string, e manifest.Endpoint) core.Endpoint {
	return core.Endpoint{Name: e.Name, Pool: pool, Address: e.Address, AvailabilityZone: e.AvailabilityZone,
		Version: e.Version, Slots: e.Slots, PrefillRate: e.PrefillRate, DecodeRate: e.DecodeRate}
}

// updateOwnership starts or ends the ownership of the shard according to the
// view.
func (d *Duty) updateOwnership(now time.Time) {
	ranking := ownership.RankSchedulers(d.Shard, d.view.Members)
	owned := !d.draining && (len(ranking) == 0 && !d.isMarkedDraining() || len(ranking) > 0 && ranking[0].Host == d.Host)
	d.ownerAddress = nextOwner(ranking, d.Host, owned)
	if owned == d.owned {
		return
	}
	d.owned = owned
	d.log.Info("ownership changed", zap.Bool("owned", owned), zap.String("next_owner", d.ownerAddress))
	d.sendToJournal(inbox.SetOwnership{Owned: owned})
	if owned {
		d.attempts = outstanding.NewTracker()
		d.trials.Reset()
		d.recentTraffic = share.NewDispatchWindow()
		d.awaitReportsUntil = now.Add(entryReportTimeout)
		d.nextTick = now
		return
	}
	d.redirectWaiting()
}

// isMarkedDraining reports whether the view marks this process as draining.
func (d *Duty) isMarkedDraining() bool {
	return slices.ContainsFunc(d.view.Members, func(m message.Member) bool {
		return m.Role == message.RoleScheduler && m.Host == d.Host && m.Draining
	})
}

// nextOwner returns the address of the highest-ranked scheduler other than this
// one. It is empty if this one owns the shard or if there is no other.
func nextOwner(ranking []message.Member, host string, owned bool) string {
	for _, member := range ranking {
		if !owned && member.Host != host {
			return member.Address
		}
	}
	return ""
}

// isAwaitingReports reports whether a new owner still waits for the first
// reports of the entries.
func (d *Duty) isAwaitingReports(now time.Time) bool {
	if !now.Before(d.awaitReportsUntil) {
		return false
	}
	for _, member := range d.view.Members {
		entry := member.Role == message.RoleEntry && member.Region == d.Shard.Region && !member.Draining
		if entry && !d.attempts.HasHostReport(member.Host) {
			return true
		}
	}
	d.awaitReportsUntil = now
	return false
}

func orDefault[T int | int64 | float64](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}
