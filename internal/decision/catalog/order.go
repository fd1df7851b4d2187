package catalog

import (
	"time"

	"kingcupcourse/internal/core"
)

// Order is the operator's order to move a service's traffic to a version.
type Order struct {
	// ID is different for each order of a service.
	ID      uint64
	Service string
	Target  core.Version
	// Duration is the time from the order by which the move must be done or
	// taken back.
	Duration time.Duration
	// State is what the system has answered.
	State OrderState
	// Revision is the store's version of the order with its answer.
	Revision uint64
	// ObservedAt is when this host learned of the order.
	ObservedAt time.Time
}

// OrderState is how far the operator has been told that the move is.
type OrderState int

// The states of an order.
const (
	OrderNew OrderState = iota
	OrderActive
	OrderSucceeded
	OrderRolledBack
)

// Finished tells whether the operator has been told of the end.
func (s OrderState) Finished() bool { return s == OrderSucceeded || s == OrderRolledBack }
