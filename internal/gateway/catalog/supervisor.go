package catalog

import (
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/supervisor"
)

// ordersWait is how long a watch of the orders waits. An order is answered by
// the watch at once; the wait only bounds how long a silent connection goes
// unnoticed.
const ordersWait = 5 * time.Second

// Catalog is the supervisor of the keeper and its followers.
type Catalog struct {
	*supervisor.Supervisor
	keeper *keeper
}

// New returns the supervisor, which is not yet running. Wait is how long a
// watch waits for a change.
//
// Children, in their order: the keeper, and a follower each for the
// configuration, the endpoints and the orders to move a service. A follower that fails begins with a list.
func New(client *platform.Client, decoder Decoder, wait time.Duration, log *zap.Logger) *Catalog {
	k := newKeeper(decoder, log)
	follow := func(prefix string) supervisor.Child {
		return supervisor.Child{Name: "follow-" + prefix, Duty: platform.NewWatcher(client, prefix, wait, k.inbox.Put)}
	}
	return &Catalog{keeper: k, Supervisor: supervisor.New(supervisor.Spec{Name: "catalog", Children: []supervisor.Child{
		{Name: "keeper", Duty: k},
		follow(decoder.ConfigurationPrefix()),
		follow(decoder.EndpointsPrefix()),
		{Name: "follow-" + decoder.OrdersPrefix(),
			Duty: platform.NewWatcher(client, decoder.OrdersPrefix(), ordersWait, k.inbox.Put)},
	}}, log)}
}

// Subscribe returns a ring that always holds the newest snapshot. It must be
// called before the supervisor runs.
func (c *Catalog) Subscribe() Subscription {
	subscription := ring.NewLatest[*catalog.Snapshot]()
	c.keeper.subscribers = append(c.keeper.subscribers, subscription)
	return subscription
}
