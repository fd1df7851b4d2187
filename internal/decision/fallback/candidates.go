package fallback

import (
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/share"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/message"
)

// ClusterState is what the processes have told each other of endpoints and
// versions.
type ClusterState struct {
	Draining    map[string]bool
	BadVersions map[core.EndpointVersion]message.BadVersion
	Moves       map[string]message.MoveStage
}

// EligibleEndpoints returns the endpoints that may get new work without a
// scheduler, by pool: none that leaves, none of a version judged bad, none of
// a version that a finished move has left behind, and none of the target of an
// unfinished move, for no one then sees to its share of the traffic. The fraction is this host's part of
// each endpoint's slots.
func EligibleEndpoints(m *manifest.Manifest, know ClusterState, fraction float64) map[string][]Endpoint {
	byPool := map[string][]Endpoint{}
	if m == nil {
		return byPool
	}
	for _, pool := range m.Pools {
		caps := share.Caps(pool.Name, m, know.Moves)
		for _, e := range pool.Endpoints {
			_, bad := know.BadVersions[core.EndpointVersion{Pool: pool.Name, Version: e.Version}]
			_, capped := caps[e.Version]
			if bad || capped || know.Draining[e.Name] {
				continue
			}
			byPool[pool.Name] = append(byPool[pool.Name], newEndpoint(pool.Name, e, fraction))
		}
	}
	return byPool
}

func newEndpoint(pool string, e manifest.Endpoint, fraction float64) Endpoint {
	return Endpoint{
		Endpoint: core.Endpoint{
			Name: e.Name, Pool: pool, Address: e.Address,
			AvailabilityZone: e.AvailabilityZone, Version: e.Version, Slots: e.Slots,
		},
		Quota: SlotQuota(e.Slots, fraction),
	}
}

// HostFraction returns this host's part of each endpoint's slots: the setting,
// or one divided by the entry hosts known.
func HostFraction(setting float64, members []message.Member) float64 {
	if setting > 0 {
		return setting
	}
	hosts := 0
	for _, m := range members {
		if m.Role == message.RoleEntry && !m.Draining {
			hosts++
		}
	}
	return 1 / float64(max(1, hosts))
}
