// Package evacuation keeps the operators' orders to empty availability zones, and
// tells how far a host has emptied them.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"kingcupcourse/internal/core"
)

// Order asks that no new request be sent to the endpoints of an availability zone
// until it is removed.
type Order struct {
	Zone core.AvailabilityZone
	// Revision is the store's revision at the order's creation.
	Revision uint64
	// ObservedAt is when this host learned of the order.
	ObservedAt time.Time
}

// Orders holds the orders in force, by availability zone.
type Orders map[core.AvailabilityZone]Order

// Tracker follows how a host empties availability zones. The zero value has no
// orders.
type Tracker struct {
	zones map[core.AvailabilityZone]*state
}

// state is how far a zone has been emptied.
type state struct {
	order Order
	// emptyAt is when no attempt ran there any more, zero before.
	emptyAt time.Time
}

// SetOrders replaces the orders. It returns those that are new, and those that are
// no longer in force. An order that was removed and given again is new.
func (t *Tracker) SetOrders(orders Orders) (begun, ended []Order) {
	known := t.zones
	t.zones = make(map[core.AvailabilityZone]*state, len(orders))
	for zone, order := range orders {
		if s := known[zone]; s != nil && s.order.Revision == order.Revision {
			t.zones[zone] = s
			continue
		}
		t.zones[zone] = &state{order: order}
		begun = append(begun, order)
	}
	for zone, s := range known {
		if _, ok := orders[zone]; !ok {
			ended = append(ended, s.order)
		}
	}
	return sorted(begun), sorted(ended)
}

func sorted(orders []Order) []Order {
	slices.SortFunc(orders, func(a, b Order) int { return cmp.Compare(a.Zone, b.Zone) })
	return orders
}

// Any reports whether any zone is evacuated.
func (t *Tracker) Any() bool { return len(t.zones) > 0 }

// Evacuated reports whether the endpoints of a zone get no new requests.
func (t *Tracker) Evacuated(zone core.AvailabilityZone) bool { return t.zones[zone] != nil }

// Zones returns the evacuated zones, sorted.
func (t *Tracker) Zones() []core.AvailabilityZone { return slices.Sorted(maps.Keys(t.zones)) }

// Progress is how far this host has emptied a zone.
type Progress struct {
	Order
	// Running is the number of the host's attempts that still run there.
	Running int
	// Emptied is set the first time that none runs there.
	Emptied bool
}

// Progress records the attempts that run in the zones and returns the progress of
// the zones that were not empty at the call before, sorted by zone.
func (t *Tracker) Progress(running map[core.AvailabilityZone]int, now time.Time) []Progress {
	var progress []Progress
	for _, zone := range t.Zones() {
		s := t.zones[zone]
		if !s.emptyAt.IsZero() {
			continue
		}
		p := Progress{Order: s.order, Running: running[zone], Emptied: running[zone] == 0}
		if p.Emptied {
			s.emptyAt = now
		}
		progress = append(progress, p)
	}
	return progress
}
