// Package orders is how a stand-in endpoint obeys the orders of a
// scheduler: load and unload a version, leave, take a role.
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

// The orders that an endpoint obeys.
const (
	Load   = "load"
	Unload = "unload"
	Leave  = "leave"
	Role   = "role"
)

// HeaderState names the state of an endpoint that starts no request.
const HeaderState = "X-Endpoint-State"

// maxHistory bounds the orders that are listed.
const maxHistory = 1024

var (
	// ErrStaleFence is returned for an order below the highest fencing number.
	ErrStaleFence = errors.New("orders: outdated fencing number")
	// ErrUnknownOrder is returned for an order that is none of the known ones.
	ErrUnknownOrder = errors.New("orders: unknown order")
)

// Order is an order to an endpoint.
type Order struct {
	Order   string `json:"order"`
	Version string `json:"version"`
	// Role is the role that the order "role" gives.
	Role  string `json:"role,omitempty"`
	Fence int64  `json:"fence"`
}

// Record is an order that an endpoint received.
type Record struct {
	Order
	Applied  bool  `json:"obeyed"`
	AtUnixMS int64 `json:"at_unix_ms"`
}

// Options tells how an endpoint obeys.
type Options struct {
	// CheckFence refuses orders below the highest fencing number seen.
	CheckFence bool
	// LoadTime is how long a version takes to load.
	LoadTime time.Duration
}

// EndpointStatus is what an endpoint was ordered to do and be. It is owned by the
// endpoint's duty.
type EndpointStatus struct {
	State   string
	Version string
	Role    string
	// HighestFence is the highest fencing number obeyed.
	HighestFence int64
	// LoadDoneAt is when the version that loads is there, zero if none loads.
	LoadDoneAt     time.Time
	loadingVersion string
}

// NewStatus returns the standing of an endpoint that has just started.
func NewStatus(version string) EndpointStatus { return EndpointStatus{State: Ready, Version: version} }

// Apply follows an order. It returns ErrOutdated or ErrUnknown if it does
// not.
func (s *EndpointStatus) Apply(o Order, rules Options, now time.Time) error {
	if rules.CheckFence && o.Fence < s.HighestFence {
		return ErrStaleFence
	}
	switch o.Order {
	case Load:
		s.State, s.loadingVersion, s.LoadDoneAt = Loading, o.Version, now.Add(rules.LoadTime)
	case Unload:
		s.State, s.Version, s.loadingVersion, s.LoadDoneAt = Loading, "", "", time.Time{}
	case Leave:
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

// FinishLoading makes a version ready whose time has come.
func (s *EndpointStatus) FinishLoading(now time.Time) {
	if s.LoadDoneAt.IsZero() || now.Before(s.LoadDoneAt) {
		return
	}
	s.State, s.Version, s.LoadDoneAt = Ready, s.loadingVersion, time.Time{}
}

// History is the newest orders that an endpoint received, the oldest first.
type History []Record

// Add adds an order to the list.
func (l *History) Add(o Order, err error, now time.Time) {
	*l = append(*l, Record{Order: o, Applied: err == nil, AtUnixMS: now.UnixMilli()})
	if len(*l) > maxHistory {
		*l = (*l)[1:]
	}
}

// Copy returns a list that may leave the duty.
func (l History) Copy() History { return append(History{}, l...) }
