package catalog

import (
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/platform"
)

// takeOrders takes over the orders to move services.
func (k *keeper) takeOrders(news platform.Update, now time.Time) (changed bool) {
	known := k.orders
	if news.Full {
		k.orders = map[string]catalog.Order{}
	}
	for _, object := range news.Objects {
		k.takeOrder(object, known[object.Key], now)
	}
	return news.Full || len(news.Objects) > 0
}

func (k *keeper) takeOrder(object platform.Object, known catalog.Order, now time.Time) {
	if object.Deleted {
		delete(k.orders, object.Key)
		k.log.Info("order withdrawn", zap.String("key", object.Key), zap.Uint64("revision", object.Version))
		return
	}
	order, err := k.decoder.Order(object)
	if err != nil {
		k.log.Warn("order not understood", zap.String("key", object.Key), zap.Uint64("revision", object.Version),
			zap.String("error", err.Error()))
		return
	}
	order.ObservedAt = now
	if known.ID == order.ID && known.Target == order.Target {
		order.ObservedAt = known.ObservedAt
	}
	k.orders[object.Key] = order
	k.log.Info("order to move a service", zap.String("service", order.Service), zap.String("target", string(order.Target)),
		zap.Duration("within", order.Duration), zap.Int("state", int(order.State)), zap.Uint64("revision", order.Revision))
}
