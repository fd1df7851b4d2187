// Package mirror keeps this host's copies of the objects in the platform's store,
// and hands their changes to the duties of this host and to other hosts. The first
// host of each availability zone reads the store; the others learn from it, and
// read the store themselves while no such host has fresh state.
package mirror

import (
	"encoding/json"
	"time"

	"kingcupcourse/internal/decision/fleet"
	"kingcupcourse/internal/decision/mirror"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/ring"
)

// changesPath is the path that serves the changes to other hosts.
const changesPath = "/v1/mirror/changes"

// Position is how far a host's copy of a prefix has come.
type Position struct {
	Listed   bool   `json:"listed,omitempty"`
	Revision uint64 `json:"revision"`
}

// ChangesRequest asks for the changes after the positions, by prefix. The answer
// is delayed until there are some, for holdTime at most.
type ChangesRequest struct {
	Host  string              `json:"host"`
	Known map[string]Position `json:"known"`
	// Urgent asks for an answer at once, since the host's state has become old.
	Urgent bool `json:"urgent,omitempty"`
}

// ChangesResponse holds the changes by prefix.
type ChangesResponse struct {
	// AgeMS is how long ago the host's state was that of the store, in
	// milliseconds; it is negative if the host has no complete state.
	AgeMS    int64             `json:"age_ms"`
	Prefixes map[string]Prefix `json:"prefixes"`
}

// Prefix holds the changes of the objects under one prefix.
type Prefix struct {
	Revision uint64 `json:"revision"`
	// Full reports that Objects are all objects.
	Full    bool     `json:"full,omitempty"`
	Objects []object `json:"objects,omitempty"`
}

// object is an object of the store in a message between hosts.
type object struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version,omitempty"`
	Created uint64          `json:"created,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
	Status  json.RawMessage `json:"status,omitempty"`
}

func toMessage(changes []change) []object {
	objects := make([]object, 0, len(changes))
	for _, c := range changes {
		objects = append(objects, object{Key: c.Key, Version: c.Version, Created: c.Value.Created, Deleted: c.Deleted,
			Value: c.Value.Value, Status: c.Value.Status})
	}
	return objects
}

func fromMessage(objects []object) []platform.Object {
	result := make([]platform.Object, 0, len(objects))
	for _, o := range objects {
		result = append(result, platform.Object{Key: o.Key, Version: o.Version, Created: o.Created, Deleted: o.Deleted,
			Value: o.Value, Status: o.Status})
	}
	return result
}

// change is a change of an object of the store.
type change = mirror.Change[platform.Object]

func toChanges(objects []platform.Object) []change {
	changes := make([]change, 0, len(objects))
	for _, o := range objects {
		changes = append(changes, change{Key: o.Key, Version: o.Version, Deleted: o.Deleted, Value: o})
	}
	return changes
}

// message is a message to the keeper.
type message interface {
	handle(k *keeper, now time.Time)
}

// storeResult is the result of a call of a watcher to the store.
type storeResult struct{ platform.Update }

// nextCursor asks where the watcher of a prefix continues. The reply is withheld
// while this host does not read the store.
type nextCursor struct {
	ring.Reply[platform.Cursor]
	prefix string
}

// nextProbe asks for the time of the next probe of the store. The reply is
// withheld until a probe is due.
type nextProbe struct{ ring.Reply[struct{}] }

// probeResult is the result of a probe.
type probeResult struct{ err error }

// nextUpstream asks which host to ask for changes. The reply is withheld until one
// may be asked.
type nextUpstream struct{ ring.Reply[upstreamCall] }

// upstreamCall is a call to another host.
type upstreamCall struct {
	host    fleet.Host
	request ChangesRequest
}

// upstreamResult is the result of an upstreamCall.
type upstreamResult struct {
	call     upstreamCall
	response ChangesResponse
	err      error
}

// changesMessage carries the request of another host.
type changesMessage struct {
	ring.Reply[ChangesResponse]
	request ChangesRequest
}

// discovered tells the keeper some hosts of the fleet before it has read their
// list.
type discovered struct{ hosts []fleet.Host }
