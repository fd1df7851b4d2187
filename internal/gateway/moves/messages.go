// Package moves executes the operator's orders to move a service to another
// version. The coordinator of the fleet holds a move: it receives the outcomes
// from the hosts that placed the requests, raises the new version's traffic share
// step by step, and reverts the move if the version proves bad or is not proved in
// time.
//
// The stage of a move is persisted in the platform's store with conditional
// writes only, so a holder that was paused or replaced cannot change it. A stage
// that gives the version more traffic is written before it takes effect. One
// that gives it less takes effect first, so that an outage of the store does not
// delay it.
package moves

import (
	"maps"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
)

// recordsPrefix is the key prefix of the moves' records in the platform's store.
const recordsPrefix = "kingcup-moves"

// record is the persisted state of a move.
type record struct {
	// OrderID and Target identify the order.
	OrderID uint64       `json:"order"`
	Target  core.Version `json:"target"`
	Holder  string       `json:"holder"`
	// Heartbeat is incremented with each renewal of the holder's lease.
	Heartbeat uint64        `json:"beat"`
	Stage     message.Stage `json:"stage"`
	Share     float64       `json:"share"`
	Requests  int           `json:"requests,omitempty"`
	Reason    string        `json:"reason,omitempty"`
	// ElapsedMS is the time from the order to this write, StageStartMS the time
	// from the order to the start of the stage, in milliseconds.
	ElapsedMS    int64 `json:"elapsed_ms"`
	StageStartMS int64 `json:"since_ms"`
}

// Constraints holds the placement constraints of a move.
type Constraints struct {
	Target core.Version `json:"target"`
	// MaxShare is the largest share of the service's requests that the target may
	// get, from 0 to 1. Unless it is zero, it does not apply to the target's
	// first FreeRequests requests.
	MaxShare     float64 `json:"share"`
	FreeRequests int     `json:"free"`
	// Done reports that the other versions get no more traffic.
	Done bool `json:"done,omitempty"`
}

// Subscription is a ring that holds only the latest constraints, by service.
type Subscription = *ring.Latest[map[string]Constraints]

// Outcome is the outcome of an attempt for a service that is being moved.
type Outcome struct {
	core.Outcome
	// Running is the number of attempts on the endpoint, including this one.
	Running int  `json:"running"`
	Slots   int  `json:"slots"`
	IsModel bool `json:"model,omitempty"`
}

// Message is a message to the duty.
type Message interface{ handle(d *Duty, now time.Time) }

func (m Outcome) handle(d *Duty, now time.Time) {
	if d.isCoordinator {
		d.observe(m, now)
	} else if len(d.unsent) < maxUnsentOutcomes {
		d.unsent = append(d.unsent, m)
	}
}

// TakeOutcomes asks for the outcomes that the coordinator must get.
type TakeOutcomes struct{ ring.Reply[[]Outcome] }

func (m TakeOutcomes) handle(d *Duty, _ time.Time) {
	m.Send(d.unsent)
	d.unsent = nil
}

// HeldElsewhere delivers the constraints of the moves that the coordinator holds,
// by service.
type HeldElsewhere struct{ Constraints map[string]Constraints }

func (m HeldElsewhere) handle(d *Duty, _ time.Time) {
	if !maps.Equal(d.heldElsewhere, m.Constraints) {
		d.heldElsewhere = m.Constraints
		d.publish()
	}
}

// catalogUpdate carries the latest snapshot of the catalog.
type catalogUpdate struct{ snapshot *catalog.Snapshot }

// CoordinatorChange reports whether this host is the coordinator of the fleet.
type CoordinatorChange struct{ Self bool }

func (m CoordinatorChange) handle(d *Duty, _ time.Time) {
	d.isCoordinator, d.heldElsewhere = m.Self, nil
	d.publish()
}
