// Package catalog keeps what a host knows of the operator's configuration and
// of the endpoints, from the platform's store, and publishes it to the duties
// that decide on it.
package catalog

import (
	"context"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/decision/discovery"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/ring"
)

// newsCapacity bounds the answers of the store that wait for the keeper. A
// full ring makes the followers wait.
const newsCapacity = 64

// Decoder reads the objects of the platform's store.
type Decoder interface {
	ConfigurationPrefix() string
	EndpointsPrefix() string
	// Configuration returns nil for an object that is none.
	Configuration(platform.Object) (*catalog.Configuration, error)
	Endpoint(platform.Object) (catalog.Endpoint, error)
	EndpointName(platform.Object) string
	// OrdersPrefix is where the orders to move a service are kept, OrderKey the
	// one for a service.
	OrdersPrefix() string
	OrderKey(service string) string
	Order(platform.Object) (catalog.Order, error)
	// OrderStatus encodes what the operator is told of an order.
	OrderStatus(catalog.Order, catalog.OrderState) any
}

// Subscription is a ring that always holds the newest snapshot.
type Subscription = *ring.Latest[*catalog.Snapshot]

// keeper is the duty that owns the belief.
type keeper struct {
	decoder     Decoder
	inbox       *ring.Ring[platform.Update]
	subscribers []Subscription
	log         *zap.Logger

	roster        *discovery.Registry
	configuration *catalog.Configuration
	listed        bool
	orders        map[string]catalog.Order // by key
	failing       map[string]bool          // prefixes whose last call failed
}

func newKeeper(decoder Decoder, log *zap.Logger) *keeper {
	return &keeper{
		decoder: decoder, log: log, roster: discovery.New(), failing: map[string]bool{},
		orders: map[string]catalog.Order{},
		inbox:  ring.New[platform.Update]("gateway_catalog", newsCapacity),
	}
}

// Serve implements supervisor.Duty.
func (k *keeper) Serve(ctx context.Context) error {
	return ring.LoopUntil(ctx, k.inbox, k.take, k.roster.NextExpiry, k.expire)
}

func (k *keeper) take(news platform.Update) error {
	now := time.Now()
	k.noteStore(news, now)
	if news.Err != nil {
		return nil
	}
	changed := false
	switch news.Prefix {
	case k.decoder.ConfigurationPrefix():
		changed = k.takeConfiguration(news.Objects)
	case k.decoder.EndpointsPrefix():
		changed = k.takeEndpoints(news, now)
	case k.decoder.OrdersPrefix():
		changed = k.takeOrders(news, now)
	}
	if changed {
		k.publish()
	}
	return nil
}

// noteStore logs each lost and regained watch.
func (k *keeper) noteStore(news platform.Update, now time.Time) {
	failed := news.Err != nil
	storeCalls.WithLabelValues(news.Prefix, result(failed)).Inc()
	if news.Prefix == k.decoder.EndpointsPrefix() {
		if failed {
			k.roster.StoreFailed(now)
		} else {
			k.roster.StoreAnswered(now)
		}
	}
	if failed == k.failing[news.Prefix] {
		return
	}
	k.failing[news.Prefix] = failed
	if failed {
		k.log.Warn("platform lost", zap.String("prefix", news.Prefix), zap.String("error", news.Err.Error()))
		return
	}
	k.log.Info("platform regained", zap.String("prefix", news.Prefix))
}

func (k *keeper) takeConfiguration(objects []platform.Object) (changed bool) {
	for _, object := range objects {
		taken, err := k.decoder.Configuration(object)
		switch {
		case err != nil:
			k.log.Error("configuration not understood, the one before stays", zap.Uint64("revision", object.Version),
				zap.String("error", err.Error()))
		case taken == nil:
		case k.configuration != nil && taken.Version <= k.configuration.Version:
			k.log.Info("older configuration ignored", zap.Uint64("version", taken.Version),
				zap.Uint64("in_force", k.configuration.Version))
		default:
			k.configuration, changed = taken, true
			k.log.Info("configuration in force", zap.Uint64("version", taken.Version),
				zap.Uint64("revision", object.Version), zap.Int("routes", len(taken.Routes)))
		}
	}
	return changed
}

func (k *keeper) takeEndpoints(news platform.Update, now time.Time) (changed bool) {
	if news.Full {
		k.replaceEndpoints(news.Objects, now)
		return true
	}
	for _, object := range news.Objects {
		k.takeEndpoint(object, now)
	}
	return len(news.Objects) > 0
}

func (k *keeper) replaceEndpoints(objects []platform.Object, now time.Time) {
	var all []catalog.Endpoint
	for _, object := range objects {
		endpoint, err := k.decoder.Endpoint(object)
		if err != nil {
			k.logBadEntry(object, err)
			continue
		}
		all = append(all, endpoint)
	}
	missing := k.roster.Replace(all, now)
	k.listed = true
	k.log.Info("endpoints listed", zap.Int("endpoints", len(all)), zap.Strings("missing", missing))
}

func (k *keeper) takeEndpoint(object platform.Object, now time.Time) {
	name := k.decoder.EndpointName(object)
	if object.Deleted {
		kept := k.roster.Remove(name, now)
		k.log.Info("endpoint's entry removed", zap.String("endpoint", name), zap.Uint64("revision", object.Version),
			zap.Bool("kept_for_now", kept))
		return
	}
	endpoint, err := k.decoder.Endpoint(object)
	if err != nil {
		// An entry that can't be read names no endpoint to use.
		k.logBadEntry(object, err)
		k.roster.Remove(name, now)
		return
	}
	k.roster.Put(endpoint)
	k.log.Info("endpoint's entry", zap.String("endpoint", name), zap.Uint64("revision", object.Version),
		zap.String("service", endpoint.Service), zap.String("address", endpoint.Address),
		zap.String("version", string(endpoint.Version)), zap.Bool("leaving", endpoint.Draining))
}

func (k *keeper) logBadEntry(object platform.Object, err error) {
	k.log.Warn("endpoint's entry not understood", zap.String("key", object.Key),
		zap.Uint64("revision", object.Version), zap.String("error", err.Error()))
}

// expire drops the endpoints whose entries did not come back after an outage.
func (k *keeper) expire() error {
	gone := k.roster.Expire(time.Now())
	if len(gone) > 0 {
		k.log.Info("endpoints gone after an outage of the store", zap.Strings("endpoints", gone))
		k.publish()
	}
	return nil
}

func (k *keeper) publish() {
	snapshot := &catalog.Snapshot{
		Configuration: k.configuration, Endpoints: k.roster.Endpoints(), EndpointsKnown: k.listed,
		Orders: map[string]catalog.Order{},
	}
	for _, order := range k.orders {
		snapshot.Orders[order.Service] = order
	}
	if k.configuration != nil {
		configurationVersion.Set(float64(k.configuration.Version))
	}
	endpointsKnown.Set(float64(len(snapshot.Endpoints)))
	for _, subscriber := range k.subscribers {
		subscriber.Publish(snapshot)
	}
}

func result(failed bool) string {
	if failed {
		return "failed"
	}
	return "ok"
}
