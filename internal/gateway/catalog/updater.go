// Package catalog follows the operator's configuration, the endpoints and the
// orders in the platform's store, and publishes snapshots of them to the other
// duties of the host.
package catalog

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/decision/discovery"
	"kingcupcourse/internal/decision/evacuation"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/ring"
)

// inboxCapacity bounds the queued updates. A full ring blocks their sender. It is
// short, as an update may hold an object of platform.MaxValueBytes.
const inboxCapacity = 8

// Decoder decodes the objects of the platform's store.
type Decoder interface {
	ConfigurationPrefix() string
	EndpointsPrefix() string
	// Configuration returns nil for an object that is not a configuration.
	Configuration(platform.Object) (*catalog.Configuration, error)
	Endpoint(platform.Object) (catalog.Endpoint, error)
	EndpointName(platform.Object) string
	// OrdersPrefix is the key prefix of the orders to move services, OrderKey
	// the key of the order for one service.
	OrdersPrefix() string
	OrderKey(service string) string
	Order(platform.Object) (catalog.Order, error)
	// OrderStatus encodes the status of an order that is shown to the operator.
	OrderStatus(catalog.Order, catalog.OrderState) any
	// EvacuationsPrefix is the key prefix of the orders to empty availability zones.
	EvacuationsPrefix() string
	// Evacuation returns the order that an object holds.
	Evacuation(platform.Object) evacuation.Order
}

// Subscription is a ring that holds only the latest snapshot.
type Subscription = *ring.Latest[*catalog.Snapshot]

// updater is the duty that applies the store's changes and publishes snapshots.
type updater struct {
	decoder     Decoder
	inbox       *ring.Ring[platform.Update]
	subscribers []Subscription
	log         *zap.Logger

	registry        *discovery.Registry
	configuration   *catalog.Configuration
	endpointsListed bool
	orders          map[string]catalog.Order // by key
	evacuations     evacuations
	failingPrefixes map[string]bool // prefixes whose last call failed
}

func newUpdater(decoder Decoder, log *zap.Logger) *updater {
	return &updater{
		decoder: decoder, log: log, registry: discovery.New(), failingPrefixes: map[string]bool{},
		orders: map[string]catalog.Order{}, evacuations: evacuations{orders: evacuation.Orders{}},
		inbox: ring.New[platform.Update]("gateway_catalog", inboxCapacity),
	}
}

// Serve implements supervisor.Duty.
func (u *updater) Serve(ctx context.Context) error {
	return ring.LoopUntil(ctx, u.inbox, u.handle, u.registry.NextExpiry, u.expire)
}

func (u *updater) handle(update platform.Update) error {
	now := time.Now()
	u.trackStore(update, now)
	if update.Err != nil {
		return nil
	}
	changed := false
	switch update.Prefix {
	case u.decoder.ConfigurationPrefix():
		changed = u.applyConfigurations(update.Objects)
	case u.decoder.EndpointsPrefix():
		changed = u.applyEndpoints(update, now)
	case u.decoder.OrdersPrefix():
		changed = u.applyOrders(update, now)
	case u.decoder.EvacuationsPrefix():
		changed = u.applyEvacuations(update, now)
	}
	if changed {
		u.publish()
	}
	return nil
}

// trackStore counts the store's results and logs when a watch fails or works
// again.
func (u *updater) trackStore(update platform.Update, now time.Time) {
	failed := update.Err != nil
	storeCalls.WithLabelValues(update.Prefix, callResult(failed)).Inc()
	if update.Prefix == u.decoder.EndpointsPrefix() {
		switch {
		case failed && !update.FailingSince.IsZero():
			u.registry.StoreFailed(update.FailingSince)
		case failed:
			u.registry.StoreFailed(now)
		default:
			u.registry.StoreResponded(now)
		}
	}
	if failed == u.failingPrefixes[update.Prefix] {
		return
	}
	u.failingPrefixes[update.Prefix] = failed
	if failed {
		u.log.Warn("platform lost", zap.String("prefix", update.Prefix), zap.String("error", update.Err.Error()))
		return
	}
	u.log.Info("platform regained", zap.String("prefix", update.Prefix))
}

func (u *updater) applyConfigurations(objects []platform.Object) (changed bool) {
	for _, object := range objects {
		decoded, err := u.decoder.Configuration(object)
		switch {
		case err != nil:
			u.log.Error("invalid configuration ignored, the previous one stays in force", zap.Uint64("revision", object.Version),
				zap.String("error", err.Error()))
		case decoded == nil:
		case u.configuration != nil && decoded.Version <= u.configuration.Version:
			u.log.Info("older configuration ignored", zap.Uint64("version", decoded.Version),
				zap.Uint64("in_force", u.configuration.Version))
		default:
			u.configuration, changed = decoded, true
			u.log.Info("configuration in force", zap.Uint64("version", decoded.Version),
				zap.Uint64("revision", object.Version), zap.Int("routes", len(decoded.Routes)))
		}
	}
	return changed
}

func (u *updater) applyEndpoints(update platform.Update, now time.Time) (changed bool) {
	if update.Full {
		u.replaceEndpoints(update.Objects, now)
		return true
	}
	for _, object := range update.Objects {
		u.applyEndpoint(object, now)
	}
	return len(update.Objects) > 0
}

func (u *updater) replaceEndpoints(objects []platform.Object, now time.Time) {
	var all []catalog.Endpoint
	for _, object := range objects {
		endpoint, err := u.decoder.Endpoint(object)
		if err != nil {
			u.logInvalidEntry(object, err)
			continue
		}
		all = append(all, endpoint)
	}
	missing := u.registry.Replace(all, now)
	u.endpointsListed = true
	u.log.Info("endpoints listed", zap.Int("endpoints", len(all)), zap.Strings("missing", missing))
}

func (u *updater) applyEndpoint(object platform.Object, now time.Time) {
	name := u.decoder.EndpointName(object)
	if object.Deleted {
		kept := u.registry.Remove(name, now)
		u.log.Info("endpoint's entry removed", zap.String("endpoint", name), zap.Uint64("revision", object.Version),
			zap.Bool("kept_for_now", kept))
		return
	}
	endpoint, err := u.decoder.Endpoint(object)
	if err != nil {
		// An invalid entry describes no usable endpoint.
		u.logInvalidEntry(object, err)
		u.registry.Remove(name, now)
		return
	}
	u.registry.Put(endpoint)
	u.log.Info("endpoint's entry", zap.String("endpoint", name), zap.Uint64("revision", object.Version),
		zap.String("service", endpoint.Service), zap.String("address", endpoint.Address),
		zap.String("version", string(endpoint.Version)), zap.Bool("leaving", endpoint.Draining))
}

func (u *updater) logInvalidEntry(object platform.Object, err error) {
	u.log.Warn("invalid endpoint entry", zap.String("key", object.Key),
		zap.Uint64("revision", object.Version), zap.String("error", err.Error()))
}

// expire drops the endpoints whose entries did not reappear after an outage of
// the store.
func (u *updater) expire() error {
	gone := u.registry.Expire(time.Now())
	if len(gone) > 0 {
		u.log.Info("endpoints gone after an outage of the store", zap.Strings("endpoints", gone))
		u.publish()
	}
	return nil
}

func (u *updater) publish() {
	snapshot := &catalog.Snapshot{
		Configuration: u.configuration, Endpoints: u.registry.Endpoints(), EndpointsKnown: u.endpointsListed,
		Orders: map[string]catalog.Order{}, Evacuations: maps.Clone(u.evacuations.orders), EvacuationsPending: u.evacuations.pending(),
	}
	for _, order := range u.orders {
		snapshot.Orders[order.Service] = order
	}
	if u.configuration != nil {
		configurationVersion.Set(float64(u.configuration.Version))
	}
	endpointsKnown.Set(float64(len(snapshot.Endpoints)))
	for _, subscriber := range u.subscribers {
		subscriber.Publish(snapshot)
	}
}

func callResult(failed bool) string {
	if failed {
		return "failed"
	}
	return "ok"
}
