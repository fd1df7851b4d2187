// Package inbox holds the typed messages that the duties of a pool shard
// exchange.
package inbox

import (
	"time"

	"kingcupcourse/internal/control"
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/journal"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
)

// QueueCapacity is how many messages wait for a queue duty. A full ring
// refuses a grant request as not run and makes the other duties wait.
const QueueCapacity = 4096

// QueueMessage is a message to the queue duty of a shard.
type QueueMessage interface{ toQueue() }

// RequestGrant asks for permission to dispatch.
type RequestGrant struct {
	ring.Reply[message.GrantReply]
	Request message.GrantRequest
}

// CancelRequest tells that nobody waits for a grant any more. Reply is that of the
// Grant, since the same attempt may have been asked for again meanwhile.
type CancelRequest struct {
	Attempt string
	Reply   ring.Reply[message.GrantReply]
}

// ReportOutcomes brings an entry's report.
type ReportOutcomes struct {
	ring.Reply[message.OutcomeAck]
	Report message.OutcomeReport
}

// ViewChanged brings the newest view.
type ViewChanged struct{ View *control.View }

// LoadReport brings an endpoint's load report.
type LoadReport struct {
	Endpoint string
	// Failed tells that there was no report; the rest is then empty.
	Failed   bool
	AsOf     time.Time
	Received time.Time
	Version  core.Version
	// State is one of the EndpointState constants.
	State EndpointState
	// InFlight is how many requests run and wait.
	InFlight int
}

// EndpointState is the state that an endpoint reports.
type EndpointState string

// The states of an endpoint.
const (
	EndpointReady    EndpointState = "ready"
	EndpointLoading  EndpointState = "loading"
	EndpointDraining EndpointState = "leaving"
)

// CacheEvents brings the changes of an engine's prefix cache.
type CacheEvents struct {
	Endpoint string
	Events   []CacheEvent
}

// CacheEvent is one block stored or evicted.
type CacheEvent struct {
	Block  string
	Stored bool
}

// JournalReply brings the journal's answer to an Ask.
type JournalReply struct{ Reply journal.Reply }

// QueryEvidence asks what was seen of a version that is being moved to.
type QueryEvidence struct {
	ring.Reply[message.EvidenceReply]
	Version core.Version
}

// Drain asks the queue to place nothing more, to refuse what waits and to
// answer when that is done.
type Drain struct{ ring.Reply[struct{}] }

func (RequestGrant) toQueue()   {}
func (CancelRequest) toQueue()  {}
func (ReportOutcomes) toQueue() {}
func (ViewChanged) toQueue()    {}
func (LoadReport) toQueue()     {}
func (CacheEvents) toQueue()    {}
func (JournalReply) toQueue()   {}
func (QueryEvidence) toQueue()  {}
func (Drain) toQueue()          {}
