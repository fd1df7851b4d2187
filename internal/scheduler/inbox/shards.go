package inbox

import (
	"kingcupcourse/internal/control"
	"kingcupcourse/internal/ring"
)

// ManagerCapacity is how many messages wait for the manager of the shards. A
// full ring makes the handlers of peers wait.
const ManagerCapacity = 1024

// ManagerMessage is a message to the manager of the shards.
type ManagerMessage interface{ toShards() }

// FindQueue asks for the queue ring of a pool's shard; the answer is nil if there
// is none here.
type FindQueue struct {
	ring.Reply[*ring.Ring[QueueMessage]]
	Pool string
}

// NewView brings the newest view to the manager.
type NewView struct{ View *control.View }

// DrainAll asks the manager to drain every shard and to answer when that is
// done.
type DrainAll struct{ ring.Reply[struct{}] }

func (FindQueue) toShards() {}
func (NewView) toShards()   {}
func (DrainAll) toShards()  {}
