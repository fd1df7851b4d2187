package inbox

import (
	"kingcupcourse/internal/control"
	"kingcupcourse/internal/ring"
)

// ShardsCapacity is how many messages wait for the manager of the shards. A
// full ring makes the handlers of peers wait.
const ShardsCapacity = 1024

// Shards is a message to the manager of the shards.
type Shards interface{ toShards() }

// Find asks for the queue ring of a pool's shard; the answer is nil if there
// is none here.
type Find struct {
	ring.Reply[*ring.Ring[Queue]]
	Pool string
}

// NewView brings the newest view to the manager.
type NewView struct{ View *control.View }

// DrainAll asks the manager to drain every shard and to answer when that is
// done.
type DrainAll struct{ ring.Reply[struct{}] }

func (Find) toShards()     {}
func (NewView) toShards()  {}
func (DrainAll) toShards() {}
