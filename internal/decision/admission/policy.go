// Package admission decides which requests an entry host admits, and sets
// their account, route, tier, deadline and idempotency key.
package admission

import (
	"slices"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/manifest"
)

// Policy is a manifest indexed for admission. It is immutable.
type Policy struct {
	*manifest.Manifest
	// routeModels is the sorted set of models named by routes, including the
	// empty name.
	routeModels []string
}

// NewPolicy returns the admission policy of a parsed manifest.
func NewPolicy(m *manifest.Manifest) *Policy {
	models := []string{""}
	for i := range m.Routes {
		models = append(models, m.Routes[i].Model)
	}
	slices.Sort(models)
	return &Policy{Manifest: m, routeModels: slices.Compact(models)}
}

// PathLimits apply to a request before its body is read, when only the
// method and path are known.
type PathLimits struct {
	// MaxBodyBytes is the largest body limit among the matching routes.
	MaxBodyBytes int64
	// HasModelRoute reports whether a route of a model pool matches.
	HasModelRoute bool
}

// MatchPath returns the limits for reading the body. It returns false if no
// route matches.
func (p *Policy) MatchPath(method, path string) (limits PathLimits, found bool) {
	for _, model := range p.routeModels {
		route, ok := p.MatchRoute(method, path, model)
		if !ok {
			continue
		}
		found = true
		limits.MaxBodyBytes = max(limits.MaxBodyBytes, route.MaxBodyBytes)
		if pool, ok := p.Pool(route.Pool); ok && pool.Kind == core.KindModel {
			limits.HasModelRoute = true
		}
	}
	return limits, found
}
