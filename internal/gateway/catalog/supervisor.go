package catalog

import (
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/supervisor"
)

// ordersWatchTimeout is how long one watch call for the orders waits. A watch
// returns a new order at once; the timeout only bounds how long a dead
// connection goes unnoticed.
const ordersWatchTimeout = 5 * time.Second

// Catalog is the supervisor of the updater and its watchers.
type Catalog struct {
	*supervisor.Supervisor
	updater *updater
}

// New returns the supervisor, not yet running. A watch call of the configuration
// or the endpoints waits for a change for the given time.
//
// Children, in start order: the updater, and one watcher each for the
// configuration, the endpoints and the orders to move services. A watcher that
// is restarted after a failure begins with a full list.
func New(client *platform.Client, decoder Decoder, wait time.Duration, log *zap.Logger) *Catalog {
	u := newUpdater(decoder, log)
	watch := func(prefix string) supervisor.Child {
		return supervisor.Child{Name: "follow-" + prefix, Duty: platform.NewWatcher(client, prefix, wait, u.inbox.Put)}
	}
	return &Catalog{updater: u, Supervisor: supervisor.New(supervisor.Spec{Name: "catalog", Children: []supervisor.Child{
		{Name: "keeper", Duty: u},
		watch(decoder.ConfigurationPrefix()),
		watch(decoder.EndpointsPrefix()),
		{Name: "follow-" + decoder.OrdersPrefix(),
			Duty: platform.NewWatcher(client, decoder.OrdersPrefix(), ordersWatchTimeout, u.inbox.Put)},
	}}, log)}
}

// Subscribe returns a ring that holds only the latest snapshot. It must be
// called before the supervisor runs.
func (c *Catalog) Subscribe() Subscription {
	subscription := ring.NewLatest[*catalog.Snapshot]()
	c.updater.subscribers = append(c.updater.subscribers, subscription)
	return subscription
}
