// Package orders applies the orders that a stand-in endpoint receives: load or
// unload a version, drain, take a role.
package orders

import (
	"errors"
	"time"
)

// The states of an endpoint.
const (
	Ready    = "ready"
	Loading  = "loading"
	Draining = "leaving"
)

// The orders that an endpoint understands.
const (
	Load   = "load"
	Unload = "unload"
	Drain  = "leave"
	Role   = "role"
)

// HeaderState is the response header with the state of an endpoint that does
// not accept requests.
const HeaderState = "X-Endpoint-State"

// maxHistory limits the number of orders in a History.
const maxHistory = 1024

var (
	// ErrStaleFence is returned for an order whose fencing number is below
	// the highest one accepted.
	ErrStaleFence = errors.New("orders: outdated fencing number")
	// ErrUnknownOrder is returned for an unknown kind of order.
	ErrUnknownOrder = errors.New("orders: unknown order")
)

// Order is an order to an endpoint.
type Order struct {
	Order   string `json:"order"`
	Version string `json:"version"`
	// Role is the role to take, for the order "role".
	Role  string `json:"role,omitempty"`
	Fence int64  `json:"fence"`
}

// Record is an order that an endpoint received.
type Record struct {
	Order
	Applied  bool  `json:"obeyed"`
	AtUnixMS int64 `json:"at_unix_ms"`
}

// Options configures how an endpoint applies orders.
type Options struct {
	// CheckFence rejects orders below the highest fencing number accepted.
	CheckFence bool
	// LoadTime is how long a version takes to load.
	LoadTime time.Duration
}

// EndpointStatus is the state that the orders have put an endpoint into. The
// duty of the endpoint owns it.
type EndpointStatus struct {
	State   string
	Version string
	Role    string
	// HighestFence is the highest fencing number accepted.
	HighestFence int64
	// LoadDoneAt is when loading completes, zero if no version is loading.
	LoadDoneAt     time.Time
	loadingVersion string
}

// NewStatus returns the status of an endpoint that has just started.
func NewStatus(version string) EndpointStatus { return EndpointStatus{State: Ready, Version: version} }

// Apply carries out an order. If it returns ErrStaleFence or ErrUnknownOrder,
// nothing has changed.
func (s *EndpointStatus) Apply(o Order, options Options, now time.Time) error {
	if options.CheckFence && o.Fence < s.HighestFence {
		return ErrStaleFence
	}
	switch o.Order {
	case Load:
		s.State, s.loadingVersion, s.LoadDoneAt = Loading, o.Version, now.Add(options.LoadTime)
	case Unload:
		s.State, s.Version, s.loadingVersion, s.LoadDoneAt = Loading, "", "", time.Time{}
	case Drain:
		s.State, s.LoadDoneAt = Draining, time.Time{}
	case Role:
		s.Role = o.Role
	default:
		return ErrUnknownOrder
	}
	s.HighestFence = max(s.HighestFence, o.Fence)
	s.FinishLoading(now)
	return nil
}

// FinishLoading makes the loading version ready if its load time has passed.
func (s *EndpointStatus) FinishLoading(now time.Time) {
	if s.LoadDoneAt.IsZero() || now.Before(s.LoadDoneAt) {
		return
	}
	s.State, s.Version, s.LoadDoneAt = Ready, s.loadingVersion, time.Time{}
}

// History is the list of the latest orders that an endpoint received, oldest
// first.
type History []Record

// Add appends an order and drops the oldest one if there are too many.
func (h *History) Add(o Order, err error, now time.Time) {
	*h = append(*h, Record{Order: o, Applied: err == nil, AtUnixMS: now.UnixMilli()})
	if len(*h) > maxHistory {
		*h = (*h)[1:]
	}
}

// Copy returns a copy that other goroutines may read.
func (h History) Copy() History { return append(History{}, h...) }
