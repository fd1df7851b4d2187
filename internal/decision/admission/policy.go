// Package admission decides which requests an entry host lets in and under
// what terms: account, route, tier, deadline and idempotency key.
package admission

import (
	"slices"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/manifest"
)

// Policy is a manifest prepared for admission. It is immutable.
type Policy struct {
	*manifest.Manifest
	// routeModels lists the routeModels that routes name, with the empty one.
	routeModels []string
}

// NewPolicy prepares a parsed manifest.
func NewPolicy(m *manifest.Manifest) *Policy {
	models := []string{""}
	for i := range m.Routes {
		models = append(models, m.Routes[i].Model)
	}
	slices.Sort(models)
	return &Policy{Manifest: m, routeModels: slices.Compact(models)}
}

// PathLimits are what is known of a request before its body is read.
type PathLimits struct {
	// MaxBodyBytes is the largest limit of the routes that the path matches.
	MaxBodyBytes int64
	// HasModelRoute tells that a route of a model pool matches.
	HasModelRoute bool
}

// MatchPath finds the terms for reading a body. It returns false if no route
// matches.
func (p *Policy) MatchPath(method, path string) (terms PathLimits, found bool) {
	for _, model := range p.routeModels {
		route, ok := p.MatchRoute(method, path, model)
		if !ok {
			continue
		}
		found = true
		terms.MaxBodyBytes = max(terms.MaxBodyBytes, route.MaxBodyBytes)
		if pool, ok := p.Pool(route.Pool); ok && pool.Kind == core.KindModel {
			terms.HasModelRoute = true
		}
	}
	return terms, found
}
