// Package moves carries out the operator's orders to move a service to another
// version. The keeper of the fleet holds a move: it sees how the requests of
// all hosts end, raises the new version's share of the traffic step by step,
// and takes the move back when the version shows itself as bad or can't be
// proved in time.
//
// The stage of a move lasts in the platform's store and is written by condition
// only, so a holder that was paused or replaced can't change it. A stage that
// gives the version more traffic is written before it is acted on; one that
// gives it less is acted on first, so that an outage of the store does not
// delay it.
package moves

import (
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/message"
)

// recordsPrefix is where the stages of moves are kept in the platform's store.
const recordsPrefix = "kingcup-moves"

// record is the stage of a move as the store keeps it.
type record struct {
	// Order and Target tell which order it is about.
	Order  uint64       `json:"order"`
	Target core.Version `json:"target"`
	Holder string       `json:"holder"`
	// Beat grows with each renewal of the holder's lease.
	Beat     uint64        `json:"beat"`
	Stage    message.Stage `json:"stage"`
	Share    float64       `json:"share"`
	Requests int           `json:"requests,omitempty"`
	Reason   string        `json:"reason,omitempty"`
	// ElapsedMS is the time from the order to the write, SinceMS that to the
	// stage, in milliseconds.
	ElapsedMS int64 `json:"elapsed_ms"`
	SinceMS   int64 `json:"since_ms"`
}

// Stage is what the placement of requests needs to know of a move.
type Stage struct {
	Target core.Version
	// MaxShare is the largest share of the service's requests that the target may
	// have, from 0 to 1. As long as it has had fewer than Free, the share does
	// not bind, unless it is zero.
	MaxShare     float64
	FreeRequests int
	// Done tells that all other versions get nothing any more.
	Done bool
}

// Outcome is how an attempt ended at an endpoint of a service that is moved.
type Outcome struct {
	core.Outcome
	// Running is how many attempts were on the endpoint, this one included.
	Running, Slots int
	IsModel        bool
}

// Message is a message to the duty.
type Message interface{ handle(d *Duty, now time.Time) }

func (m Outcome) handle(d *Duty, now time.Time) { d.observe(m, now) }

// orders is the newest state of the catalog.
type orders struct{ snapshot *catalog.Snapshot }

// CoordinatorChange tells whether this host is the keeper of the fleet.
type CoordinatorChange struct{ Self bool }

func (m CoordinatorChange) handle(d *Duty, _ time.Time) { d.keeper = m.Self }
