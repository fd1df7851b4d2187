// Package catalog holds what the operator has configured and which endpoints
// there are, as the path of a request needs it.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"kingcupcourse/internal/core"
)

// RetryPolicy tells how often one request may run.
type RetryPolicy int

// The kinds of repetition.
const (
	// AtMostOnce is for a request that may run at most once.
	AtMostOnce RetryPolicy = iota
	// Retryable is for a request that may run again after any failure.
	Retryable
)

// Configuration is one version of what the operator has configured.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Accounts []Account
	Limits   Limits

	byAuthority map[string][]*Route // the longest prefix first
	byKey       map[string]*Account
}

// Route sends the requests of one authority and path prefix to services.
type Route struct {
	Name string
	// Authority is the name in the request's Host header, in lower case and
	// without a port.
	Authority   string
	PathPrefix  string
	RetryPolicy RetryPolicy
	// Streaming tells that the answer is a stream of events; Resumable that
	// it may go on at another endpoint after its last event.
	Streaming, Resumable bool
	// Public requests carry no key.
	Public bool
	// Timeout is the longest that a caller may be kept waiting; zero for no
	// limit.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer, or the first event of a
	// stream, has its full value. InterEventObjective is the longest pause between
	// two events for the same.
	LatencyObjective, InterEventObjective time.Duration
	// Priority is the rank among routes, 0 for the most important.
	Priority int
	// MaxAttempts is how many endpoints may run one request.
	MaxAttempts int
	Targets     []Target
}

// Target is one service of a route and its share of the traffic.
type Target struct {
	Service string
	Weight  float64
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name string
	// MaxConnections is what one endpoint accepts from all hosts together.
	MaxConnections int
	// Model is set for a service of model engines.
	Model *Model
}

// Model describes the engines of a service.
type Model struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// CacheTokens is the engine's memory for prompts and output.
	CacheTokens int
	// EventTokens is how many tokens one event of a stream holds.
	EventTokens int
}

// Account is a client account with its keys and limits.
type Account struct {
	Name string
	Keys []string
	// Priority replaces the route's if HasPriority.
	Priority    int
	HasPriority bool
	// Rate, in units a second, and Burst, in units, limit the account on all
	// hosts together; a zero Rate is no limit. A unit is a token, or a request
	// if not CountsTokens.
	Rate, Burst float64
	UnitIsToken bool
	// DefaultTokens is what a request counts that names no tokens.
	DefaultTokens int
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int64
}

// Endpoint is one running back end as it describes itself.
type Endpoint struct {
	core.Endpoint
	Service string
	// Draining tells that the endpoint takes no new work.
	Draining bool
	// StartedAt is when the endpoint started, by its own clock. It tells a
	// restart under the same name.
	StartedAt time.Time
}

// Snapshot is the state that the duties decide on. It is never changed.
type Snapshot struct {
	// Configuration is nil until the first is known.
	Configuration *Configuration
	Endpoints     []Endpoint
	// EndpointsKnown tells that the list of endpoints has been read.
	EndpointsKnown bool
	// Orders are the operator's orders to move a service, by service.
	Orders map[string]Order
}

// Ready tells whether requests can be served.
func (s *Snapshot) Ready() bool { return s.Configuration != nil && s.EndpointsKnown }

// BuildIndex prepares the look-ups. It is called once, before the configuration is
// shared.
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
	}
}

// MatchRoute returns the route with the longest prefix of the path.
func (c *Configuration) MatchRoute(authority, path string) (*Route, bool) {
	for _, route := range c.byAuthority[authority] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return nil, false
}

// AccountByKey returns the account that holds the key.
func (c *Configuration) AccountByKey(key string) (*Account, bool) {
	account, ok := c.byKey[key]
	return account, ok && key != ""
}

// PickService returns the service for a draw from [0, 1), by the targets' weights.
func (r *Route) PickService(draw float64) (string, bool) {
	total := 0.0
	for _, target := range r.Targets {
		total += target.Weight
	}
	if total <= 0 {
		return "", false
	}
	left, last := draw*total, ""
	for _, target := range r.Targets {
		if target.Weight <= 0 {
			continue
		}
		last = target.Service
		if left -= target.Weight; left < 0 {
			break
		}
	}
	return last, true
}

// PriorityFor returns the rank of an account's request; account may be nil.
func (r *Route) PriorityFor(account *Account) int {
	if account != nil && account.HasPriority {
		return account.Priority
	}
	return r.Priority
}
