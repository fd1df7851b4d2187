// Package catalog holds the operator's configuration and the discovered
// endpoints, indexed for the request path.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/evacuation"
)

// RetryPolicy tells whether a request may run more than once.
type RetryPolicy int

// The retry policies.
const (
	// AtMostOnce is for a request that must not run twice.
	AtMostOnce RetryPolicy = iota
	// Retryable is for a request that may run again after any failure.
	Retryable
)

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Accounts []Account
	Limits   Limits

	byAuthority map[string][]*Route // routes in descending order of prefix length
	byKey       map[string]*Account
	// lowestPriority is the largest, least important, priority of an account.
	lowestPriority int
}

// Route maps the requests of one authority and path prefix to services.
type Route struct {
	Name string
	// Authority is the host name in the request's Host header, in lower case
	// and without a port.
	Authority   string
	PathPrefix  string
	RetryPolicy RetryPolicy
	// Streaming is set if the response is a stream of events. Resumable is set
	// if the stream can resume on another endpoint after the last event sent.
	Streaming, Resumable bool
	// Public routes need no API key.
	Public bool
	// Timeout is the longest time that a caller may wait; zero means no limit.
	Timeout time.Duration
	// LatencyObjective is the longest time to a response, or to the first
	// event of a stream, at which it has its full value.
	// InterEventObjective is the longest pause between two events at which a
	// stream has its full value.
	LatencyObjective, InterEventObjective time.Duration
	// Priority orders the routes; 0 is the most important.
	Priority int
	// MaxAttempts is the number of endpoints that may be tried for a request.
	MaxAttempts int
	Targets     []Target
	// AllowedRegions are the only regions in which the requests may be processed;
	// empty for all.
	AllowedRegions []core.Region
}

// Target is a service of a route with its traffic weight.
type Target struct {
	Service string
	Weight  float64
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one endpoint accepts
	// from all hosts together.
	MaxConnections int
	// Model is set for a service of inference engines.
	Model *Model
	// ColdTime is how long an endpoint is cold after it starts, and ColdRate the
	// requests per second that a cold endpoint bears from all hosts together. A
	// zero rate means no limit.
	ColdTime time.Duration
	ColdRate float64
}

// Model describes the inference engines of a service.
type Model struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// CacheTokens is the size of the engine's KV cache in tokens.
	CacheTokens int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
}

// Account is a client account with its API keys and rate limit.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate, in units per second, and Burst, in units, limit the account across
	// all hosts; a zero Rate means no limit. A unit is a token if UnitIsToken
	// is set, otherwise a request.
	Rate, Burst float64
	UnitIsToken bool
	// DefaultTokens is charged for a request that states no token count.
	DefaultTokens int
	// AllowedRegions are the only regions in which the account's requests may be
	// processed; empty for all.
	AllowedRegions []core.Region
}

// Limits are the size limits of a request.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int64
}

// Endpoint is a running backend instance as it registered itself.
type Endpoint struct {
	core.Endpoint
	Service string
	// Draining is set if the endpoint accepts no new requests.
	Draining bool
	// StartedAt is the start time by the endpoint's own clock. It changes when
	// an endpoint restarts under the same name.
	StartedAt time.Time
	// ColdUntil is when the endpoint becomes warm, by the clock of this host and
	// counted from the reading of the entry; zero if it is warm.
	ColdUntil time.Time
}

// Snapshot is an immutable view of the configuration and the endpoints,
// shared by all duties.
type Snapshot struct {
	// Configuration is nil until the first version has been read.
	Configuration *Configuration
	Endpoints     []Endpoint
	// EndpointsKnown is set once the list of endpoints has been read.
	EndpointsKnown bool
	// Orders holds the operator's orders to move a service, keyed by service.
	Orders map[string]Order
	// Evacuations holds the operator's orders to empty availability zones.
	Evacuations evacuation.Orders
	// EvacuationsPending is set if the deployment has such orders and they have not
	// been read yet.
	EvacuationsPending bool
}

// Ready reports whether requests can be served.
func (s *Snapshot) Ready() bool {
	return s.Configuration != nil && s.EndpointsKnown && !s.EvacuationsPending
}

// BuildIndex builds the lookup tables. It is called once, before the
// configuration is shared.
func (c *Configuration) BuildIndex() {
	c.byAuthority, c.byKey = map[string][]*Route{}, map[string]*Account{}
	for i := range c.Routes {
		route := &c.Routes[i]
		c.byAuthority[route.Authority] = append(c.byAuthority[route.Authority], route)
	}
	for _, routes := range c.byAuthority {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			c.byKey[key] = &c.Accounts[i]
		}
		if c.Accounts[i].HasPriority {
			c.lowestPriority = max(c.lowestPriority, c.Accounts[i].Priority)
		}
	}
}

// MatchRoute returns the route with the longest matching path prefix.
func (c *Configuration) MatchRoute(authority, path string) (*Route, bool) {
	for _, route := range c.byAuthority[authority] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return nil, false
}

// AccountByKey returns the account that owns the API key.
func (c *Configuration) AccountByKey(key string) (*Account, bool) {
	account, ok := c.byKey[key]
	return account, ok && key != ""
}

// PickService picks a service by the targets' weights. Draw is a random
// number in [0, 1). It returns false if no target has a weight.
func (r *Route) PickService(draw float64) (string, bool) {
	total := 0.0
	for _, target := range r.Targets {
		total += target.Weight
	}
	if total <= 0 {
		return "", false
	}
	remaining, last := draw*total, ""
	for _, target := range r.Targets {
		if target.Weight <= 0 {
			continue
		}
		last = target.Service
		if remaining -= target.Weight; remaining < 0 {
			break
		}
	}
	return last, true
}

// PriorityFor returns the priority of a request; account may be nil.
func (r *Route) PriorityFor(account *Account) int {
	if account != nil && account.HasPriority {
		return account.Priority
	}
	return r.Priority
}

// Tier returns the tier of a request, 0 for the most important; account may be nil.
// The priority of an account precedes that of the route: all requests of an account
// above the lowest priority are in the first tier, and the others are ordered by
// their routes, since most accounts share one priority.
func (c *Configuration) Tier(route *Route, account *Account) int {
	if account != nil && account.HasPriority && account.Priority < c.lowestPriority {
		return 0
	}
	return route.Priority
}
