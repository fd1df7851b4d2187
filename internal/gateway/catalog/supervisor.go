package catalog

import (
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/supervisor"
)

// Catalog is the supervisor of the keeper and its followers.
type Catalog struct {
	*supervisor.Supervisor
	keeper *keeper
}

// New returns the supervisor, which is not yet running. Wait is how long a
// watch waits for a change.
//
// Children, in their order: the keeper, and a follower for the configuration
// and one for the endpoints. A follower that fails begins with a list.
func New(client *platform.Client, decoder Decoder, wait time.Duration, log *zap.Logger) *Catalog {
	k := newKeeper(decoder, log)
	follow := func(prefix string) supervisor.Child {
		return supervisor.Child{Name: "follow-" + prefix, Duty: platform.NewFollower(client, prefix, wait, k.inbox.Put)}
	}
	return &Catalog{keeper: k, Supervisor: supervisor.New(supervisor.Spec{Name: "catalog", Children: []supervisor.Child{
		{Name: "keeper", Duty: k},
		follow(decoder.ConfigurationPrefix()),
		follow(decoder.EndpointsPrefix()),
	}}, log)}
}

// Subscribe returns a ring that always holds the newest snapshot. It must be
// called before the supervisor runs.
func (c *Catalog) Subscribe() Subscription {
	subscription := ring.NewLatest[*catalog.Snapshot]()
	c.keeper.subscribers = append(c.keeper.subscribers, subscription)
	return subscription
}
