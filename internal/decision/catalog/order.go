package catalog

import (
	"time"

	"kingcupcourse/internal/core"
)

// Order is an operator's order to move a service's traffic to a version.
type Order struct {
	// ID is unique among the orders of a service.
	ID      uint64
	Service string
	Target  core.Version
	// Duration is the time after the order within which the move must be
	// completed or rolled back.
	Duration time.Duration
	// State is the status reported back to the operator.
	State OrderState
	// Revision is the store's revision of the order object, including its
	// status.
	Revision uint64
	// ObservedAt is when this host first read the order.
	ObservedAt time.Time
}

// OrderState is the progress of the move last reported to the operator.
type OrderState int

// The states of an order.
const (
	OrderNew OrderState = iota
	OrderActive
	OrderSucceeded
	OrderRolledBack
)

// Finished reports whether a final state has been reported to the operator.
func (s OrderState) Finished() bool { return s == OrderSucceeded || s == OrderRolledBack }
