// Package shard is the supervisor of the duties of one pool shard: the queue
// that owns its state, the pool's journal, and one duty for each endpoint.
// It restarts each alone. The endpoints stop first, then the queue, so that
// the journal can still take what the queue has to tell.
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

// Config is what all shards of a process have in common.
type Config struct {
	Host   string
	Region core.Region
	// OwnerID names this run of the process in the journals.
	OwnerID string
	// Policy is the name of the placement policy.
	Policy string
	// JournalFlushInterval is the shortest time between two writes of a journal.
	JournalFlushInterval time.Duration
	Platform             caller.Platform
	// EndpointClient is the client for load reports.
	EndpointClient *http.Client
	// PublishFact tells a fact to all hosts.
	PublishFact func(message.Fact) error
	Log         *zap.Logger
}

// Shard is one pool shard as the manager of the shards sees it.
type Shard struct {
	// Queue and Journal are the rings of its duties.
	Queue   *ring.Ring[inbox.QueueMessage]
	Journal *ring.Ring[inbox.JournalMessage]

	config     Config
	id         ownership.Shard
	supervisor *supervisor.Supervisor
	polled     map[string]core.Endpoint
}

// New returns a shard of the pool that is not yet running.
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

// Update brings the endpoint duties in line with the view. It waits until
// those of endpoints that are gone have stopped.
func (s *Shard) Update(view *control.View) {
	wanted := map[string]core.Endpoint{}
	if s.isOwnerOrStandby(view) {
		for _, e := range queue.ShardEndpoints(view.Manifest, s.id) {
			wanted[e.Name] = e
		}
	}
	for name, e := range s.polled {
		if wanted[name].Address != e.Address {
			_ = s.supervisor.Remove(childName(name)) // it is a child: polled says so
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

// isOwnerOrStandby tells whether this host is the owner of the shard or the next in
// rank. Only these two poll the endpoints, the second so that it can take
// over with fresh reports; otherwise every endpoint would be polled by every
// scheduler of the fleet.
func (s *Shard) isOwnerOrStandby(view *control.View) bool {
	ranked := ownership.RankSchedulers(s.id, view.Members)
	near := ranked[:min(pollingSchedulers, len(ranked))]
	return slices.ContainsFunc(near, func(m message.Member) bool { return m.Host == s.config.Host })
}

// pollingSchedulers is how many schedulers, by rank, poll a shard's endpoints.
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
