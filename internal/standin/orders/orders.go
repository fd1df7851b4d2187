// Package orders is how a stand-in endpoint obeys the orders of a
// scheduler: load and unload a version, leave, take a role.
package orders

import (
	"errors"
	"time"
)

// The states of an endpoint.
const (
	Ready   = "ready"
	Loading = "loading"
	Leaving = "leaving"
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

// maxListed bounds the orders that are listed.
const maxListed = 1024

var (
	// ErrOutdated is returned for an order below the highest fencing number.
	ErrOutdated = errors.New("orders: outdated fencing number")
	// ErrUnknown is returned for an order that is none of the known ones.
	ErrUnknown = errors.New("orders: unknown order")
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
	Obeyed   bool  `json:"obeyed"`
	AtUnixMS int64 `json:"at_unix_ms"`
}

// Rules tells how an endpoint obeys.
type Rules struct {
	// CheckFence refuses orders below the highest fencing number seen.
	CheckFence bool
	// LoadTime is how long a version takes to load.
	LoadTime time.Duration
}

// Standing is what an endpoint was ordered to do and be. It is owned by the
// endpoint's duty.
type Standing struct {
	State   string
	Version string
	Role    string
	// HighestFence is the highest fencing number obeyed.
	HighestFence int64
	// LoadedAt is when the version that loads is there, zero if none loads.
	LoadedAt time.Time
	loading  string
}

// Begin returns the standing of an endpoint that has just started.
func Begin(version string) Standing { return Standing{State: Ready, Version: version} }

// Obey follows an order. It returns ErrOutdated or ErrUnknown if it does
// not.
func (s *Standing) Obey(o Order, rules Rules, now time.Time) error {
	if rules.CheckFence && o.Fence < s.HighestFence {
		return ErrOutdated
	}
	switch o.Order {
	case Load:
		s.State, s.loading, s.LoadedAt = Loading, o.Version, now.Add(rules.LoadTime)
	case Unload:
		s.State, s.Version, s.loading, s.LoadedAt = Loading, "", "", time.Time{}
	case Leave:
		s.State, s.LoadedAt = Leaving, time.Time{}
	case Role:
		s.Role = o.Role
	default:
		return ErrUnknown
	}
	s.HighestFence = max(s.HighestFence, o.Fence)
	s.FinishLoading(now)
	return nil
}

// FinishLoading makes a version ready whose time has come.
func (s *Standing) FinishLoading(now time.Time) {
	if s.LoadedAt.IsZero() || now.Before(s.LoadedAt) {
		return
	}
	s.State, s.Version, s.LoadedAt = Ready, s.loading, time.Time{}
}

// List is the newest orders that an endpoint received, the oldest first.
type List []Record

// Add adds an order to the list.
func (l *List) Add(o Order, err error, now time.Time) {
	*l = append(*l, Record{Order: o, Obeyed: err == nil, AtUnixMS: now.UnixMilli()})
	if len(*l) > maxListed {
		*l = (*l)[1:]
	}
}

// Copy returns a list that may leave the duty.
func (l List) Copy() List { return append(List{}, l...) }
