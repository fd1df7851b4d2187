// Package admission decides which requests an entry host lets in and under
// what terms: account, route, tier, deadline and idempotency key.
package admission

import (
	"slices"
	"strings"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/manifest"
)

// Policy is a manifest prepared for look-ups. It is immutable.
type Policy struct {
	leastTier core.Tier
	accounts  map[string]*manifest.ClientAccount // by key hash
	pools     map[string]*manifest.Pool
	routes    []manifest.Route
}

// NewPolicy prepares a manifest whose defaults have been filled in.
func NewPolicy(m *manifest.Manifest) *Policy {
	p := &Policy{
		leastTier: core.Tier(m.Tiers),
		accounts:  map[string]*manifest.ClientAccount{},
		pools:     map[string]*manifest.Pool{},
		routes:    m.Routes,
	}
	for i := range m.ClientAccounts {
		for _, hash := range m.ClientAccounts[i].KeySHA256 {
			p.accounts[strings.ToLower(hash)] = &m.ClientAccounts[i]
		}
	}
	for i := range m.Pools {
		p.pools[m.Pools[i].Name] = &m.Pools[i]
	}
	return p
}

// Account returns the account of the hex SHA-256 hash of a bearer key, or
// nil if there is none.
func (p *Policy) Account(keyHash string) *manifest.ClientAccount { return p.accounts[keyHash] }

// PathTerms are what is known of a request before its body is read.
type PathTerms struct {
	// MaxBodyBytes is the largest limit of the routes that the path matches.
	MaxBodyBytes int64
	// Model tells that a route of a model pool matches.
	Model bool
}

// MatchPath finds the terms for reading a body. It returns false if no route
// matches.
func (p *Policy) MatchPath(method, path string) (terms PathTerms, found bool) {
	for i := range p.routes {
		r := &p.routes[i]
		if !matchesPath(r, method, path) {
			continue
		}
		found = true
		terms.MaxBodyBytes = max(terms.MaxBodyBytes, r.MaxBodyBytes)
		if pool := p.pools[r.Pool]; pool != nil && pool.Kind == core.KindModel {
			terms.Model = true
		}
	}
	return terms, found
}

// match returns the first route that fits, or nil.
func (p *Policy) match(method, path, model string) *manifest.Route {
	for i := range p.routes {
		r := &p.routes[i]
		if matchesPath(r, method, path) && (r.Model == "" || r.Model == model) {
			return r
		}
	}
	return nil
}

func matchesPath(r *manifest.Route, method, path string) bool {
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	if strings.HasSuffix(r.Path, "/") {
		return strings.HasPrefix(path, r.Path)
	}
	return path == r.Path
}
