package control

import (
	"cmp"
	"maps"
	"slices"

	"kingcupcourse/internal/findings"
	"kingcupcourse/internal/message"
)

func poolStatuses(view *View) []message.PoolStatus {
	var statuses []message.PoolStatus
	for _, pool := range view.Manifest.Pools {
		status := message.PoolStatus{Name: pool.Name, Kind: pool.Kind, Endpoints: len(pool.Endpoints)}
		for _, e := range pool.Endpoints {
			if view.Draining[e.Name] {
				status.DrainingEndpoints = append(status.DrainingEndpoints, e.Name)
			}
		}
		statuses = append(statuses, status)
	}
	return statuses
}

func sortedValues[V any](m map[string]V) []V {
	values := make([]V, 0, len(m))
	for _, key := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[key])
	}
	return values
}

func compareBadVersions(a, b message.BadVersion) int {
	return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Version, b.Version))
}

func findingLines(list findings.List) []string {
	lines := make([]string, len(list))
	for i, f := range list {
		lines[i] = f.String()
	}
	return lines
}
