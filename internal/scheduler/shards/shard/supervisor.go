// Package shard supervises the duties of one pool shard: the queue that owns
// its state, the pool's journal, and one polling duty for each endpoint. Each
// child is restarted on its own. The endpoint duties stop first, then the
// queue, so that the journal still accepts the queue's last messages.
package shard

import (
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/control"
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/ownership"
	"kingcupcourse/internal/decision/placement"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/scheduler/inbox"
	"kingcupcourse/internal/scheduler/shards/shard/endpoint"
	"kingcupcourse/internal/scheduler/shards/shard/journal"
	"kingcupcourse/internal/scheduler/shards/shard/journal/caller"
	"kingcupcourse/internal/scheduler/shards/shard/queue"
	"kingcupcourse/internal/supervisor"
)

// Config holds what all shards of a process share.
type Config struct {
	Host   string
	Region core.Region
	// OwnerID identifies this run of the process in the journals.
	OwnerID string
	// Policy is the name of the placement policy.
	Policy string
	// JournalFlushInterval is the minimum time between two writes of a
	// journal.
	JournalFlushInterval time.Duration
	Platform             caller.Platform
	// EndpointClient polls endpoints for load reports and cache events.
	EndpointClient *http.Client
	// PublishFact sends a fact to all hosts.
	PublishFact func(message.Fact) error
	Log         *zap.Logger
}

// Shard is one pool shard as seen by the shard manager.
type Shard struct {
	// Queue and Journal are the rings of the queue duty and of the journal's
	// owner duty.
	Queue   *ring.Ring[inbox.QueueMessage]
	Journal *ring.Ring[inbox.JournalMessage]

	config     Config
	id         ownership.Shard
	supervisor *supervisor.Supervisor
	polled     map[string]core.Endpoint
}

// New returns a shard of the pool. It runs once its supervisor is started.
func New(config Config, pool manifest.Pool) *Shard {
	policy, ok := placement.NewPolicy(config.Policy)
	if !ok {
		policy, _ = placement.NewPolicy(placement.PolicyKingcup)
	}
	s := &Shard{
		Queue:   ring.New[inbox.QueueMessage]("queue", inbox.QueueCapacity),
		Journal: ring.New[inbox.JournalMessage]("journal", inbox.JournalCapacity),
		config:  config,
		id:      ownership.Shard{Pool: pool.Name, Region: config.Region},
		polled:  map[string]core.Endpoint{},
	}
	s.supervisor = supervisor.New(supervisor.Spec{
		Name: "shard-" + pool.Name,
		Children: []supervisor.Child{
			{Name: "journal", Duty: journal.New(journal.Config{Shard: s.id, Pool: pool, OwnerID: config.OwnerID,
				FlushInterval: config.JournalFlushInterval, Inbox: s.Journal, Queue: s.Queue, Platform: config.Platform, Log: config.Log})},
			{Name: "queue", Duty: queue.New(queue.Config{Shard: s.id, Host: config.Host, Policy: policy,
				Inbox: s.Queue, Journal: s.Journal, PublishFact: config.PublishFact, Log: config.Log})},
		},
	}, config.Log)
	return s
}

// Supervisor returns the shard's supervisor.
func (s *Shard) Supervisor() *supervisor.Supervisor { return s.supervisor }

// Update adds and removes endpoint duties according to the view. It waits until
// the duties of removed endpoints have stopped.
func (s *Shard) Update(view *control.View) {
	wanted := map[string]core.Endpoint{}
	if s.isOwnerOrStandby(view) {
		for _, e := range queue.ShardEndpoints(view.Manifest, s.id) {
			wanted[e.Name] = e
		}
	}
	for name, e := range s.polled {
		if wanted[name].Address != e.Address {
			_ = s.supervisor.Remove(childName(name)) // cannot fail: polled lists only children
			delete(s.polled, name)
		}
	}
	for name, e := range wanted {
		if _, ok := s.polled[name]; ok {
			continue
		}
		s.polled[name] = e
		s.supervisor.Add(supervisor.Child{Name: childName(name),
			Duty: endpoint.New(e, poolKind(view.Manifest, s.id.Pool), s.Queue, s.config.EndpointClient)})
	}
}

// isOwnerOrStandby reports whether this host owns the shard or is next in rank.
// Only these two poll the endpoints, the standby so that it can take over with
// fresh reports. If all schedulers polled, the number of polls would grow with
// the size of the fleet.
func (s *Shard) isOwnerOrStandby(view *control.View) bool {
	ranking := ownership.RankSchedulers(s.id, view.Members)
	polling := ranking[:min(pollingSchedulers, len(ranking))]
	return slices.ContainsFunc(polling, func(m message.Member) bool { return m.Host == s.config.Host })
}

// pollingSchedulers is the number of top-ranked schedulers that poll a shard's
// endpoints.
const pollingSchedulers = 2

func childName(endpoint string) string { return "endpoint-" + endpoint }

func poolKind(m *manifest.Manifest, name string) core.Kind {
	for _, pool := range m.Pools {
		if pool.Name == name {
			return pool.Kind
		}
	}
	return core.KindService
}
