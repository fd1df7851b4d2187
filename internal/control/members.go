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
	// probeInterval is how often a process probes one random peer.
	probeInterval = 500 * time.Millisecond
	// housekeepingInterval is how often facts are expired and endpoints that
	// leave are judged again.
	housekeepingInterval = time.Second
	// fetchRetryInterval is how long a fetch of a manifest may take before
	// another peer is asked for the same version.
	fetchRetryInterval = 500 * time.Millisecond
	// maxFactsPerMessage limits the facts, and the entries wanted, in one
	// gossip message.
	maxFactsPerMessage = 4096
	// initialSyncTimeout is how long a process that starts may wait until it has
	// learned what its peers share.
	initialSyncTimeout = 5 * time.Second
)

// membersMessage is a message to the members duty.
type membersMessage interface{ isMembersMessage() }

// localFact is a fact found by this process.
type localFact struct{ fact message.Fact }

// gossipRequest is gossip that a peer sent; it is answered at once.
type gossipRequest struct {
	gossip *message.Gossip
	ring.Reply[*message.Gossip]
}

// gossipReply is a peer's answer to gossip of this process.
type gossipReply struct {
	sent   outgoingGossip
	gossip *message.Gossip
}

// peerUnreachable tells that a peer did not answer.
type peerUnreachable struct{ address string }

// hostListUpdate is a newer list of hosts and endpoints from the platform.
type hostListUpdate struct{ list message.HostList }

// manifestState names the manifest version in force and the highest that was
// refused, zero for none.
type manifestState struct{ version, rejected uint64 }

// drainStarted tells that the process drains.
type drainStarted struct{}

func (localFact) isMembersMessage()       {}
func (gossipRequest) isMembersMessage()   {}
func (gossipReply) isMembersMessage()     {}
func (peerUnreachable) isMembersMessage() {}
func (hostListUpdate) isMembersMessage()  {}
func (manifestState) isMembersMessage()   {}
func (drainStarted) isMembersMessage()    {}

// members is the duty that owns the shared facts. It announces its process,
// probes a random peer each period, compares facts when theirs differ, pushes
// news on, and tells configuration what has changed. It never waits for
// another duty.
type members struct {
	inbox         *ring.Ring[membersMessage]
	configuration *ring.Ring[configurationMessage]
	probes        *ring.Ring[outgoingGossip]
	pushes        []*ring.Ring[outgoingGossip]
	fetches       []*ring.Ring[fetchRequest]
	watchModes    []*ring.Ring[watchMode]
	log           logger
	metrics       *metrics

	self    message.Member
	ownRank uint64   // rank of the newest announcement
	seeds   []string // addresses to try besides the members

	store        *facts.Store
	platformList *draining.PlatformList
	known        map[string]message.Member // decoded member facts, by name
	alive        map[string]bool           // names of the members that are alive
	suspectedAt  map[string]time.Time      // when this process suspected a member

	manifest        manifestState
	lastFetch       fetchRequest
	lastFetchAt     time.Time
	holdsWatches    bool
	snapshotChanged bool // the snapshot must be published
	started         time.Time
	factsSynced     bool // what the peers share is known
	syncReported    bool // configuration knows that

	nextHousekeeping, nextProbe time.Time
}

// Serve implements supervisor.Duty.
func (m *members) Serve(ctx context.Context) error {
	now := time.Now()
	m.nextHousekeeping, m.nextProbe = now, now
	if m.started.IsZero() {
		m.started = now
	}
	return ring.LoopUntil(ctx, m.inbox, m.handle, m.nextTick, m.tick)
}

func (m *members) nextTick() time.Time {
	if m.nextHousekeeping.Before(m.nextProbe) {
		return m.nextHousekeeping
	}
	return m.nextProbe
}

// tick does what is due by the time.
func (m *members) tick() error {
	now := time.Now()
	if !now.Before(m.nextHousekeeping) {
		m.nextHousekeeping = now.Add(housekeepingInterval)
		m.announceIfDue(now)
		m.expireFacts(now)
		m.publishListChanges(now)
	}
	if !now.Before(m.nextProbe) {
		m.nextProbe = now.Add(probeInterval)
		m.dropExpiredSuspects(now)
		m.probeRandomPeer()
		m.advanceInitialSync(now)
	}
	m.notifyConfiguration()
	return nil
}

func (m *members) handle(e membersMessage) error {
	now := time.Now()
	switch e := e.(type) {
	case localFact:
		m.addLocalFact(e.fact, now)
	case gossipRequest:
		m.receiveGossip(e.gossip, now)
		e.Send(m.replyTo(e.gossip))
	case gossipReply:
		m.receiveGossip(e.gossip, now)
		m.continueComparison(e.sent.address, e.gossip)
		m.factsSynced = m.factsSynced || m.completesComparison(e)
	case peerUnreachable:
		m.suspectMemberAt(e.address, now)
	case hostListUpdate:
		m.applyHostList(e.list, now)
	case manifestState:
		m.manifest = e
		m.pushGossip(nil)
	case drainStarted:
		m.self.Draining = true
		m.announceSelf(now)
	}
	m.notifyConfiguration()
	return nil
}

// addLocalFact takes in a fact of this process.
func (m *members) addLocalFact(fact message.Fact, now time.Time) {
	fact = withDefaults(fact, now)
	if m.isDuplicateRefusal(fact, now) {
		return
	}
	m.pushFacts(m.mergeFacts([]message.Fact{fact}, now))
}

// receiveGossip takes in the facts of a peer and pushes on those that are news.
func (m *members) receiveGossip(gossip *message.Gossip, now time.Time) {
	var taken []message.Fact
	for _, fact := range gossip.Facts {
		if fact.Kind == message.FactManifest {
			m.fetchIfNewer(fetchRequest{address: gossip.From, version: fact.Rank}, now)
			continue
		}
		taken = append(taken, fact)
	}
	m.pushFacts(m.mergeFacts(taken, now))
	m.refute(now)
}

// mergeFacts merges facts into the store and returns those that were news.
func (m *members) mergeFacts(incoming []message.Fact, now time.Time) []message.Fact {
	news := m.store.Merge(incoming, now)
	for _, fact := range news {
		if fact.Kind == message.FactMember {
			m.applyMemberFact(fact)
			continue
		}
		m.snapshotChanged = true
		m.log.Debug("fact learned", zap.String("kind", string(fact.Kind)),
			zap.String("key", fact.Key), zap.Uint64("rank", fact.Rank))
	}
	return news
}

func (m *members) expireFacts(now time.Time) {
	for _, fact := range m.store.Expire(now) {
		if fact.Kind == message.FactMember {
			delete(m.known, fact.Key)
			delete(m.alive, fact.Key)
			delete(m.suspectedAt, fact.Key)
		}
		m.snapshotChanged = true
	}
}

// notifyConfiguration tells the other duties what has changed. If a ring is full, it is
// told at the next chance.
func (m *members) notifyConfiguration() {
	if m.snapshotChanged {
		m.publishSnapshot()
	}
	if m.factsSynced && !m.syncReported && !m.snapshotChanged {
		m.syncReported = m.configuration.TryPut(initialSyncDone{}) == nil
	}
}

func (m *members) publishSnapshot() {
	s := m.snapshot()
	m.metrics.members.Set(float64(len(s.members)))
	m.metrics.facts.Set(float64(m.store.Len()))
	m.updateWatchMode(s.members)
	err := m.configuration.TryPut(snapshotUpdate{snapshot: s})
	m.snapshotChanged = errors.Is(err, ring.ErrFull)
}

func (m *members) updateWatchMode(members []message.Member) {
	watching := membership.IsWatcher(membership.Key(m.self), members, membership.MaxWatchers)
	if watching == m.holdsWatches {
		return
	}
	for _, orders := range m.watchModes {
		if orders.TryPut(watchMode{long: watching}) != nil {
			return
		}
	}
	m.holdsWatches = watching
}

// randomPeers returns up to count distinct random peers.
func (m *members) randomPeers(count int) []string {
	peers := m.livePeers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(count, len(peers))]
}
