package catalog

import (
	"context"

	"go.uber.org/zap"

	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/supervisor"
)

// Catalog is the supervisor of the updater.
type Catalog struct {
	*supervisor.Supervisor
	updater *updater
}

// New returns the supervisor, not yet running. Its only child is the updater.
func New(decoder Decoder, log *zap.Logger) *Catalog {
	u := newUpdater(decoder, log)
	return &Catalog{updater: u, Supervisor: supervisor.New(supervisor.Spec{Name: "catalog", Children: []supervisor.Child{
		{Name: "keeper", Duty: u},
	}}, log)}
}

// Deliver passes an update of the configuration, the endpoints or the orders to
// the updater.
func (c *Catalog) Deliver(ctx context.Context, update platform.Update) error {
	return c.updater.inbox.Put(ctx, update)
}

// ExpectEvacuations tells that orders to empty availability zones will be delivered.
// Until then the snapshots are not ready. It must be called before the supervisor
// runs.
func (c *Catalog) ExpectEvacuations() { c.updater.evacuations.followed = true }

// Subscribe returns a ring that holds only the latest snapshot. It must be
// called before the supervisor runs.
func (c *Catalog) Subscribe() Subscription {
	subscription := ring.NewLatest[*catalog.Snapshot]()
	c.updater.subscribers = append(c.updater.subscribers, subscription)
	return subscription
}
