package manifest

import (
	"net/http"
	"path"
	"slices"
	"strings"

	"kingcupcourse/internal/core"
)

// allowedMethods are the HTTP methods that a route may have.
var allowedMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// index holds the lookup tables of a manifest.
type index struct {
	accountByKeyHash map[string]*ClientAccount
	accountByName    map[string]*ClientAccount
	poolByName       map[string]*Pool
	routeByName      map[string]*Route
	corePools        map[string]core.Pool
	endpoints        map[string]core.Endpoint
	regionOf         map[core.AvailabilityZone]core.Region
}

// buildIndex builds the lookup tables. The manifest must not change afterwards.
func (m *Manifest) buildIndex() {
	m.index = index{
		accountByKeyHash: map[string]*ClientAccount{},
		accountByName:    map[string]*ClientAccount{},
		poolByName:       map[string]*Pool{},
		routeByName:      map[string]*Route{},
		corePools:        map[string]core.Pool{},
		endpoints:        map[string]core.Endpoint{},
		regionOf:         map[core.AvailabilityZone]core.Region{},
	}
	m.indexAccounts()
	m.indexPools()
	for i := range m.Routes {
		m.index.routeByName[m.Routes[i].Name] = &m.Routes[i]
	}
	for _, region := range m.Regions {
		for _, zone := range region.AvailabilityZones {
			m.index.regionOf[zone] = region.Name
		}
	}
}

func (m *Manifest) indexAccounts() {
	for i := range m.ClientAccounts {
		account := &m.ClientAccounts[i]
		m.index.accountByName[account.Name] = account
		for _, hash := range account.KeySHA256 {
			m.index.accountByKeyHash[hash] = account
		}
	}
}

func (m *Manifest) indexPools() {
	for i := range m.Pools {
		pool := &m.Pools[i]
		converted := pool.toCore()
		m.index.poolByName[pool.Name] = pool
		m.index.corePools[pool.Name] = converted
		for _, e := range converted.Endpoints {
			m.index.endpoints[e.Name] = e
		}
	}
}

// AccountByKeyHash returns the client account that has a bearer key with this
// hex SHA-256 hash.
func (m *Manifest) AccountByKeyHash(hash string) (*ClientAccount, bool) {
	account, ok := m.index.accountByKeyHash[hash]
	return account, ok
}

// Account returns a client account by name.
func (m *Manifest) Account(name string) (*ClientAccount, bool) {
	account, ok := m.index.accountByName[name]
	return account, ok
}

// Pool returns a pool by name.
func (m *Manifest) Pool(name string) (*Pool, bool) {
	pool, ok := m.index.poolByName[name]
	return pool, ok
}

// CorePool returns a pool by name as the decision packages use it. Its
// endpoints are shared and must not be changed.
func (m *Manifest) CorePool(name string) (core.Pool, bool) {
	pool, ok := m.index.corePools[name]
	return pool, ok
}

// Endpoint returns an endpoint by name as the decision packages use it.
func (m *Manifest) Endpoint(name string) (core.Endpoint, bool) {
	endpoint, ok := m.index.endpoints[name]
	return endpoint, ok
}

// RegionOf returns the region of an availability zone.
func (m *Manifest) RegionOf(zone core.AvailabilityZone) (core.Region, bool) {
	region, ok := m.index.regionOf[zone]
	return region, ok
}

// Route returns a route by name.
func (m *Manifest) Route(name string) (*Route, bool) {
	route, ok := m.index.routeByName[name]
	return route, ok
}

// MatchRoute returns the first route that matches a request with this method,
// path and model. The model is empty for a request without one. A path with
// empty or dot segments matches no route, so that a request for one route can't
// be disguised as a request for another.
func (m *Manifest) MatchRoute(method, requestPath, model string) (*Route, bool) {
	if requestPath != cleanPath(requestPath) {
		return nil, false
	}
	for i := range m.Routes {
		if m.Routes[i].matches(method, requestPath, model) {
			return &m.Routes[i], true
		}
	}
	return nil, false
}

func (r *Route) matches(method, requestPath, model string) bool {
	return r.matchesMethod(method) && r.matchesPath(requestPath) && (r.Model == "" || r.Model == model)
}

func (r *Route) matchesMethod(method string) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}

func (r *Route) matchesPath(requestPath string) bool {
	if strings.HasSuffix(r.Path, "/") {
		return strings.HasPrefix(requestPath, r.Path)
	}
	return requestPath == r.Path
}

// covers reports whether r matches every request that other matches.
func (r *Route) covers(other *Route) bool {
	if r.Model != "" && r.Model != other.Model {
		return false
	}
	if len(r.Methods) > 0 && len(other.Methods) == 0 {
		return false
	}
	for _, method := range other.Methods {
		if !r.matchesMethod(method) {
			return false
		}
	}
	return r.matchesPath(other.Path)
}

// cleanPath returns the path in the normal form in which requests are matched:
// absolute, without empty or dot segments, with its trailing slash kept.
func cleanPath(value string) string {
	clean := path.Clean("/" + value)
	if strings.HasSuffix(value, "/") && clean != "/" {
		clean += "/"
	}
	return clean
}

// Core returns the account as the decision packages use it.
func (a *ClientAccount) Core() core.ClientAccount {
	return core.ClientAccount{Name: a.Name, MaxTier: a.MaxTier, Weight: a.Weight, HomeRegion: a.HomeRegion}
}

func (p *Pool) toCore() core.Pool {
	converted := core.Pool{Name: p.Name, Kind: p.Kind, Endpoints: make([]core.Endpoint, len(p.Endpoints))}
	for i, e := range p.Endpoints {
		converted.Endpoints[i] = core.Endpoint{
			Name:             e.Name,
			Pool:             p.Name,
			Address:          e.Address,
			AvailabilityZone: e.AvailabilityZone,
			Version:          e.Version,
			Slots:            e.Slots,
			PrefillRate:      e.PrefillRate,
			DecodeRate:       e.DecodeRate,
		}
	}
	return converted
}
