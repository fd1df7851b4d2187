package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/decision/draining"
	"kingcupcourse/internal/decision/facts"
	"kingcupcourse/internal/decision/membership"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
)

const (
	// probePeriod is how often a process probes one random peer.
	probePeriod = 500 * time.Millisecond
	// housekeepingPeriod is how often facts are expired and endpoints that
	// leave are judged again.
	housekeepingPeriod = time.Second
	// fetchAgainAfter is how long a fetch of a manifest may take before
	// another peer is asked for the same version.
	fetchAgainAfter = 500 * time.Millisecond
	// maxFactsPerMessage limits the facts, and the entries wanted, in one
	// gossip message.
	maxFactsPerMessage = 4096
	// initialSyncTimeout is how long a process that starts may wait until it has
	// learned what its peers share.
	initialSyncTimeout = 5 * time.Second
)

// event is a message to the members duty.
type event interface{ isEvent() }

// reported is a fact found by this process.
type reported struct{ fact message.Fact }

// incoming is gossip that a peer sent; it is answered at once.
type incoming struct {
	gossip *message.Gossip
	ring.Reply[*message.Gossip]
}

// answered is a peer's answer to gossip of this process.
type answered struct {
	sent   outgoing
	gossip *message.Gossip
}

// unreached tells that a peer did not answer.
type unreached struct{ address string }

// hostsListed is a newer list of hosts and endpoints from the platform.
type hostsListed struct{ list message.HostList }

// manifestTaken names the manifest version in force and the highest that was
// refused, zero for none.
type manifestTaken struct{ version, rejected uint64 }

// leave tells that the process drains.
type leave struct{}

func (reported) isEvent()      {}
func (incoming) isEvent()      {}
func (answered) isEvent()      {}
func (unreached) isEvent()     {}
func (hostsListed) isEvent()   {}
func (manifestTaken) isEvent() {}
func (leave) isEvent()         {}

// members is the duty that owns the shared facts. It announces its process,
// probes a random peer each period, compares facts when theirs differ, pushes
// news on, and tells configuration what has changed. It never waits for
// another duty.
type members struct {
	inbox         *ring.Ring[event]
	configuration *ring.Ring[change]
	probes        *ring.Ring[outgoing]
	pushes        []*ring.Ring[outgoing]
	fetches       []*ring.Ring[fetch]
	watches       []*ring.Ring[watchOrder]
	log           logger
	metrics       *metrics

	self    message.Member
	ownRank uint64   // rank of the newest announcement
	seeds   []string // addresses to try besides the members

	store       *facts.Store
	list        *draining.PlatformList
	known       map[string]message.Member // decoded member facts, by name
	alive       map[string]bool           // names of the members that are alive
	suspectedAt map[string]time.Time      // when this process suspected a member

	manifest    manifestTaken
	lastFetch   fetch
	lastFetchAt time.Time
	watching    bool
	changed     bool // the snapshot must be published
	started     time.Time
	synced      bool // what the peers share is known
	syncedTold  bool // configuration knows that

	nextHousekeeping, nextProbe time.Time
}

// Serve implements supervisor.Duty.
func (m *members) Serve(ctx context.Context) error {
	now := time.Now()
	m.nextHousekeeping, m.nextProbe = now, now
	if m.started.IsZero() {
		m.started = now
	}
	return ring.LoopUntil(ctx, m.inbox, m.handle, m.next, m.tick)
}

func (m *members) next() time.Time {
	if m.nextHousekeeping.Before(m.nextProbe) {
		return m.nextHousekeeping
	}
	return m.nextProbe
}

// tick does what is due by the time.
func (m *members) tick() error {
	now := time.Now()
	if !now.Before(m.nextHousekeeping) {
		m.nextHousekeeping = now.Add(housekeepingPeriod)
		m.announceIfDue(now)
		m.expire(now)
		m.applyList(now)
	}
	if !now.Before(m.nextProbe) {
		m.nextProbe = now.Add(probePeriod)
		m.updateAlive(now)
		m.probe()
		m.initialSync(now)
	}
	m.publish()
	return nil
}

func (m *members) handle(e event) error {
	now := time.Now()
	switch e := e.(type) {
	case reported:
		m.report(e.fact, now)
	case incoming:
		m.receive(e.gossip, now)
		e.Send(m.answer(e.gossip))
	case answered:
		m.receive(e.gossip, now)
		m.continueComparison(e.sent.address, e.gossip)
		m.synced = m.synced || m.isCompared(e)
	case unreached:
		m.suspect(e.address, now)
	case hostsListed:
		m.adoptList(e.list, now)
	case manifestTaken:
		m.manifest = e
		m.pushAll(nil)
	case leave:
		m.self.Draining = true
		m.announce(now)
	}
	m.publish()
	return nil
}

// report takes in a fact of this process.
func (m *members) report(fact message.Fact, now time.Time) {
	fact = completed(fact, now)
	if m.isRepeatedRefusal(fact, now) {
		return
	}
	m.push(m.take([]message.Fact{fact}, now))
}

// receive takes in the facts of a peer and pushes on those that are news.
func (m *members) receive(gossip *message.Gossip, now time.Time) {
	var taken []message.Fact
	for _, fact := range gossip.Facts {
		if fact.Kind == message.FactManifest {
			m.considerManifest(fetch{address: gossip.From, version: fact.Rank}, now)
			continue
		}
		taken = append(taken, fact)
	}
	m.push(m.take(taken, now))
	m.refute(now)
}

// take merges facts into the store and returns those that were news.
func (m *members) take(incoming []message.Fact, now time.Time) []message.Fact {
	news := m.store.Merge(incoming, now)
	for _, fact := range news {
		if fact.Kind == message.FactMember {
			m.learnMember(fact)
			continue
		}
		m.changed = true
		m.log.Debug("fact learned", zap.String("kind", string(fact.Kind)),
			zap.String("key", fact.Key), zap.Uint64("rank", fact.Rank))
	}
	return news
}

func (m *members) expire(now time.Time) {
	for _, fact := range m.store.Expire(now) {
		if fact.Kind == message.FactMember {
			delete(m.known, fact.Key)
			delete(m.alive, fact.Key)
			delete(m.suspectedAt, fact.Key)
		}
		m.changed = true
	}
}

// publish tells the other duties what has changed. If a ring is full, it is
// told at the next chance.
func (m *members) publish() {
	if m.changed {
		m.publishSnapshot()
	}
	if m.synced && !m.syncedTold && !m.changed {
		m.syncedTold = m.configuration.TryPut(initialSyncDone{}) == nil
	}
}

func (m *members) publishSnapshot() {
	s := m.snapshot()
	m.metrics.members.Set(float64(len(s.members)))
	m.metrics.facts.Set(float64(m.store.Len()))
	m.orderWatches(s.members)
	err := m.configuration.TryPut(shared{snapshot: s})
	m.changed = errors.Is(err, ring.ErrFull)
}

func (m *members) orderWatches(members []message.Member) {
	watching := membership.IsWatcher(membership.Key(m.self), members, membership.MaxWatchers)
	if watching == m.watching {
		return
	}
	for _, orders := range m.watches {
		if orders.TryPut(watchOrder{long: watching}) != nil {
			return
		}
	}
	m.watching = watching
}

// pick returns up to count distinct random peers.
func (m *members) pick(count int) []string {
	peers := m.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(count, len(peers))]
}
