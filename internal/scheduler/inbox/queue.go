// Package inbox defines the messages that the duties of the scheduler
// exchange through their rings.
package inbox

import (
	"time"

	"kingcupcourse/internal/control"
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/journal"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
)

// QueueCapacity is the size of the ring of a queue duty. When it is full,
// grant requests are refused as not run and all other senders wait.
const QueueCapacity = 4096

// QueueMessage is a message to the queue duty of a shard.
type QueueMessage interface{ isQueueMessage() }

// RequestGrant requests permission to dispatch a request to an endpoint.
type RequestGrant struct {
	ring.Reply[message.GrantReply]
	Request message.GrantRequest
}

// CancelRequest tells the queue that nobody waits for a grant any more. Reply
// identifies the RequestGrant message: a newer one may exist for the same
// attempt.
type CancelRequest struct {
	Attempt string
	Reply   ring.Reply[message.GrantReply]
}

// ReportOutcomes carries the report of an entry.
type ReportOutcomes struct {
	ring.Reply[message.OutcomeAck]
	Report message.OutcomeReport
}

// ViewChanged carries the newest view.
type ViewChanged struct{ View *control.View }

// LoadReport carries the load report of an endpoint.
type LoadReport struct {
	Endpoint string
	// Failed is set if the endpoint gave no report; the fields below are
	// then empty.
	Failed   bool
	AsOf     time.Time
	Received time.Time
	Version  core.Version
	// State is one of the EndpointState constants.
	State EndpointState
	// InFlight is the number of requests that run or wait on the endpoint.
	InFlight int
}

// EndpointState is the lifecycle state that an endpoint reports.
type EndpointState string

// The states of an endpoint.
const (
	EndpointReady    EndpointState = "ready"
	EndpointLoading  EndpointState = "loading"
	EndpointDraining EndpointState = "leaving"
)

// CacheEvents carries changes of an engine's prefix cache.
type CacheEvents struct {
	Endpoint string
	Events   []CacheEvent
}

// CacheEvent is the storing or the eviction of one block.
type CacheEvent struct {
	Block  string
	Stored bool
}

// JournalReply carries the journal's reply to a Reserve or ConfirmRefusal.
type JournalReply struct{ Reply journal.Reply }

// QueryEvidence requests the observations of a version that a move introduces.
type QueryEvidence struct {
	ring.Reply[message.EvidenceReply]
	Version core.Version
}

// Drain asks the queue to stop placing requests, to refuse all waiting requests
// and to reply when that is done.
type Drain struct{ ring.Reply[struct{}] }

func (RequestGrant) isQueueMessage()   {}
func (CancelRequest) isQueueMessage()  {}
func (ReportOutcomes) isQueueMessage() {}
func (ViewChanged) isQueueMessage()    {}
func (LoadReport) isQueueMessage()     {}
func (CacheEvents) isQueueMessage()    {}
func (JournalReply) isQueueMessage()   {}
func (QueryEvidence) isQueueMessage()  {}
func (Drain) isQueueMessage()          {}
