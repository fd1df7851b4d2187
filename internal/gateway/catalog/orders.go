package catalog

import (
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/platform"
)

// applyOrders applies changes to the orders to move services.
func (u *updater) applyOrders(update platform.Update, now time.Time) (changed bool) {
	known := u.orders
	if update.Full {
		u.orders = map[string]catalog.Order{}
	}
	for _, object := range update.Objects {
		u.applyOrder(object, known[object.Key], now)
	}
	return update.Full || len(update.Objects) > 0
}

func (u *updater) applyOrder(object platform.Object, known catalog.Order, now time.Time) {
	if object.Deleted {
		delete(u.orders, object.Key)
		u.log.Info("order withdrawn", zap.String("key", object.Key), zap.Uint64("revision", object.Version))
		return
	}
	order, err := u.decoder.Order(object)
	if err != nil {
		u.log.Warn("invalid order ignored", zap.String("key", object.Key), zap.Uint64("revision", object.Version),
			zap.String("error", err.Error()))
		return
	}
	order.ObservedAt = now
	if known.ID == order.ID && known.Target == order.Target {
		order.ObservedAt = known.ObservedAt
	}
	u.orders[object.Key] = order
	u.log.Info("order to move a service", zap.String("service", order.Service), zap.String("target", string(order.Target)),
		zap.Duration("within", order.Duration), zap.Int("state", int(order.State)), zap.Uint64("revision", order.Revision))
}
