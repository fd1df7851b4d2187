package inbox

import (
	"kingcupcourse/internal/control"
	"kingcupcourse/internal/ring"
)

// ManagerCapacity is the size of the ring of the shard manager. When it is
// full, the request handlers wait.
const ManagerCapacity = 1024

// ManagerMessage is a message to the shard manager.
type ManagerMessage interface{ isManagerMessage() }

// FindQueue requests the queue ring of a pool's shard. The reply is nil if this
// process has no shard of the pool.
type FindQueue struct {
	ring.Reply[*ring.Ring[QueueMessage]]
	Pool string
}

// NewView carries the newest view.
type NewView struct{ View *control.View }

// DrainAll asks the manager to drain every shard and to reply when that is
// done.
type DrainAll struct{ ring.Reply[struct{}] }

func (FindQueue) isManagerMessage() {}
func (NewView) isManagerMessage()   {}
func (DrainAll) isManagerMessage()  {}
