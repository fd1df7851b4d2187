package catalog

import (
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/evacuation"
	"kingcupcourse/internal/platform"
)

// evacuations holds the orders to empty availability zones.
type evacuations struct {
	// followed is set if the deployment has such orders.
	followed, listed bool
	orders           evacuation.Orders
}

// pending reports whether the orders are followed and not known yet.
func (e *evacuations) pending() bool { return e.followed && !e.listed }

// applyEvacuations applies changes to the orders to empty availability zones.
func (u *updater) applyEvacuations(update platform.Update, now time.Time) (changed bool) {
	known := u.evacuations.orders
	if update.Full {
		u.evacuations.listed, u.evacuations.orders = true, evacuation.Orders{}
	}
	for _, object := range update.Objects {
		order := u.decoder.Evacuation(object)
		if object.Deleted {
			delete(u.evacuations.orders, order.Zone)
			u.log.Info("evacuation taken back", zap.String("availability_zone", string(order.Zone)), zap.Uint64("revision", object.Version))
			continue
		}
		order.ObservedAt = now
		before, inForce := known[order.Zone]
		if inForce && before.Revision == order.Revision {
			order.ObservedAt = before.ObservedAt
		}
		u.evacuations.orders[order.Zone] = order
		if !inForce || before.Revision != order.Revision {
			u.logEvacuation(order)
		}
	}
	return update.Full || len(update.Objects) > 0
}

// logEvacuation also tells how many endpoints the order takes out of use, as an
// order for a misspelt zone has none.
func (u *updater) logEvacuation(order evacuation.Order) {
	u.log.Info("availability zone is to be emptied", zap.String("availability_zone", string(order.Zone)),
		zap.Uint64("revision", order.Revision), zap.Int("endpoints", u.endpointsIn(order.Zone)))
}

func (u *updater) endpointsIn(zone core.AvailabilityZone) (count int) {
	for _, e := range u.registry.Endpoints() {
		if e.AvailabilityZone == zone {
			count++
		}
	}
	return count
}
