package fallback

import (
	"cmp"
	"slices"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/share"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/message"
)

// ClusterState is the gossiped state of endpoints, versions and moves.
type ClusterState struct {
	Draining    map[string]bool
	BadVersions map[core.EndpointVersion]message.BadVersion
	Moves       map[string]message.MoveStage
}

// EligibleEndpoints returns, by pool, the endpoints that may receive new
// requests without a scheduler. It leaves out draining endpoints, versions
// judged bad, versions replaced by a finished move, and the target version of
// an unfinished or reverted move, because nothing limits its share of the
// traffic without a scheduler. Fraction is the host's part of each endpoint's
// slots. A host has at least one slot in each pool.
func EligibleEndpoints(m *manifest.Manifest, state ClusterState, host string, fraction float64) map[string][]Endpoint {
	byPool := map[string][]Endpoint{}
	if m == nil {
		return byPool
	}
	for _, pool := range m.Pools {
		caps := share.Caps(pool.Name, m, state.Moves)
		for _, e := range pool.Endpoints {
			_, bad := state.BadVersions[core.EndpointVersion{Pool: pool.Name, Version: e.Version}]
			_, capped := caps[e.Version]
			if bad || capped || state.Draining[e.Name] {
				continue
			}
			byPool[pool.Name] = append(byPool[pool.Name], newEndpoint(pool.Name, e, host, fraction))
		}
		byPool[pool.Name] = withQuota(byPool[pool.Name], host)
	}
	return byPool
}

// withQuota returns the endpoints of which the host may use a slot. If there is
// none, it is the one with the lowest hash.
func withQuota(endpoints []Endpoint, host string) []Endpoint {
	if len(endpoints) == 0 {
		return nil
	}
	if !slices.ContainsFunc(endpoints, func(e Endpoint) bool { return e.Quota > 0 }) {
		lowest := slices.MinFunc(endpoints, func(a, b Endpoint) int {
			return cmp.Compare(hashFraction(host, a.Name), hashFraction(host, b.Name))
		})
		lowest.Quota = 1
		return []Endpoint{lowest}
	}
	return slices.DeleteFunc(endpoints, func(e Endpoint) bool { return e.Quota == 0 })
}

func newEndpoint(pool string, e manifest.Endpoint, host string, fraction float64) Endpoint {
	return Endpoint{
		Endpoint: core.Endpoint{
			Name: e.Name, Pool: pool, Address: e.Address,
			AvailabilityZone: e.AvailabilityZone, Version: e.Version, Slots: e.Slots,
		},
		Quota: SlotQuota(e.Slots, fraction, host, e.Name),
	}
}

// HostFraction returns this host's part of each endpoint's slots: the
// configured fraction, or an equal split among the known entry hosts if none
// is configured.
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
