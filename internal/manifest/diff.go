package manifest

import (
	"reflect"
	"slices"
	"strings"
)

// Change is one difference between two manifests.
type Change struct {
	// Kind is the kind of object that changed: deployment, tiers, region,
	// client account, pool, endpoint, route, routes or move.
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Action is added, removed, changed or, for the list of routes,
	// reordered.
	Action string `json:"action"`
}

// String returns "action kind name".
func (c Change) String() string {
	return strings.TrimSpace(c.Action + " " + c.Kind + " " + c.Name)
}

// Values of Change.Action.
const (
	actionAdded     = "added"
	actionRemoved   = "removed"
	actionChanged   = "changed"
	actionReordered = "reordered"
)

// Diff returns the changes from one manifest to another, with defaults applied.
func Diff(from, to *Manifest) []Change {
	var changes []Change
	if from.Deployment != to.Deployment {
		changes = append(changes, Change{Kind: "deployment", Action: actionChanged})
	}
	if from.Tiers != to.Tiers {
		changes = append(changes, Change{Kind: "tiers", Action: actionChanged})
	}
	regionName := func(r Region) string { return string(r.Name) }
	return slices.Concat(changes,
		diffByName("region", from.Regions, to.Regions, regionName),
		diffByName("client account", from.ClientAccounts, to.ClientAccounts, func(a ClientAccount) string { return a.Name }),
		diffByName("pool", withoutEndpoints(from.Pools), withoutEndpoints(to.Pools), func(p Pool) string { return p.Name }),
		diffByName("endpoint", endpointsOf(from), endpointsOf(to), func(e endpointInPool) string { return e.Name }),
		diffByName("route", from.Routes, to.Routes, routeName),
		diffOrder(from.Routes, to.Routes),
		diffByName("move", from.Moves, to.Moves, func(m Move) string { return m.Name }),
	)
}

func routeName(r Route) string { return r.Name }

// endpointInPool is an endpoint with the name of its pool.
type endpointInPool struct {
	Endpoint
	pool string
}

func endpointsOf(m *Manifest) []endpointInPool {
	var all []endpointInPool
	for _, pool := range m.Pools {
		for _, e := range pool.Endpoints {
			all = append(all, endpointInPool{e, pool.Name})
		}
	}
	return all
}

func withoutEndpoints(pools []Pool) []Pool {
	pools = slices.Clone(pools)
	for i := range pools {
		pools[i].Endpoints = nil
	}
	return pools
}

func diffByName[T any](kind string, from, to []T, name func(T) string) []Change {
	fromByName := map[string]T{}
	for _, item := range from {
		fromByName[name(item)] = item
	}
	var changes []Change
	for _, item := range to {
		before, known := fromByName[name(item)]
		delete(fromByName, name(item))
		switch {
		case !known:
			changes = append(changes, Change{kind, name(item), actionAdded})
		case !reflect.DeepEqual(before, item):
			changes = append(changes, Change{kind, name(item), actionChanged})
		}
	}
	for _, item := range from {
		if _, removed := fromByName[name(item)]; removed {
			changes = append(changes, Change{kind, name(item), actionRemoved})
		}
	}
	return changes
}

// diffOrder reports a different order of the routes that both manifests have.
// The order matters because the first match wins.
func diffOrder(from, to []Route) []Change {
	if slices.Equal(commonNames(from, to), commonNames(to, from)) {
		return nil
	}
	return []Change{{Kind: "routes", Action: actionReordered}}
}

// commonNames returns the names of the routes that are also in other, in the
// order of routes.
func commonNames(routes, other []Route) []string {
	var names []string
	for _, r := range routes {
		if slices.ContainsFunc(other, func(o Route) bool { return o.Name == r.Name }) {
			names = append(names, r.Name)
		}
	}
	return names
}
