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
	// probeInterval is the time between two probes of a random peer.
	probeInterval = 500 * time.Millisecond
	// housekeepingInterval is the time between two passes that expire facts and
	// update the state of draining endpoints.
	housekeepingInterval = time.Second
	// fetchRetryInterval is the time after the start of a fetch before another
	// peer is asked for the same manifest version.
	fetchRetryInterval = 500 * time.Millisecond
	// maxFactsPerMessage limits both the facts and the requested entries in a
	// gossip message.
	maxFactsPerMessage = 4096
	// initialSyncTimeout limits how long a starting process waits for the facts
	// of its peers.
	initialSyncTimeout = 5 * time.Second
)

// membersMessage is a message for the members duty.
type membersMessage interface{ isMembersMessage() }

// localFact is a fact reported by this process.
type localFact struct{ fact message.Fact }

// gossipRequest is gossip received from a peer, which waits for the reply.
type gossipRequest struct {
	gossip *message.Gossip
	ring.Reply[*message.Gossip]
}

// gossipReply is a peer's reply to gossip sent by this process.
type gossipReply struct {
	sent   outgoingGossip
	gossip *message.Gossip
}

// peerUnreachable reports that a peer did not reply.
type peerUnreachable struct{ address string }

// hostListUpdate is a new version of the platform's list of hosts and endpoints.
type hostListUpdate struct{ list message.HostList }

// manifestState holds the manifest version in force and the highest refused
// version, each zero for none.
type manifestState struct{ version, rejected uint64 }

// drainStarted reports that this process drains.
type drainStarted struct{}

func (localFact) isMembersMessage()       {}
func (gossipRequest) isMembersMessage()   {}
func (gossipReply) isMembersMessage()     {}
func (peerUnreachable) isMembersMessage() {}
func (hostListUpdate) isMembersMessage()  {}
func (manifestState) isMembersMessage()   {}
func (drainStarted) isMembersMessage()    {}

// members is the duty that owns the shared facts. It announces this process,
// probes a random peer at each probe interval, compares facts with peers that
// hold different ones, pushes new facts to peers, and sends snapshots to the
// configuration duty. It never blocks on another duty.
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
	ownRank uint64   // rank of the last announcement
	seeds   []string // addresses to probe besides those of members

	store        *facts.Store
	platformList *draining.PlatformList
	known        map[string]message.Member // decoded member facts, by key
	alive        map[string]bool           // keys of the live members
	suspectedAt  map[string]time.Time      // last suspicion raised by this process, by key

	manifest        manifestState
	lastFetch       fetchRequest
	lastFetchAt     time.Time
	holdsWatches    bool // the watchers hold long watches
	snapshotChanged bool // the current snapshot is not published yet
	started         time.Time
	factsSynced     bool // the initial sync is done or has timed out
	syncReported    bool // initialSyncDone was sent

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

// tick does the periodic work that is due.
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

func (m *members) handle(received membersMessage) error {
	now := time.Now()
	switch received := received.(type) {
	case localFact:
		m.addLocalFact(received.fact, now)
	case gossipRequest:
		m.receiveGossip(received.gossip, now)
		received.Send(m.replyTo(received.gossip))
	case gossipReply:
		m.receiveGossip(received.gossip, now)
		m.continueComparison(received.sent.address, received.gossip)
		m.factsSynced = m.factsSynced || m.completesComparison(received)
	case peerUnreachable:
		m.suspectMemberAt(received.address, now)
	case hostListUpdate:
		m.applyHostList(received.list, now)
	case manifestState:
		m.manifest = received
		m.pushGossip(nil)
	case drainStarted:
		m.self.Draining = true
		m.announceSelf(now)
	}
	m.notifyConfiguration()
	return nil
}

// addLocalFact publishes a fact reported by this process.
func (m *members) addLocalFact(fact message.Fact, now time.Time) {
	fact = withDefaults(fact, now)
	if m.isDuplicateRefusal(fact, now) {
		return
	}
	m.pushFacts(m.mergeFacts([]message.Fact{fact}, now))
}

// receiveGossip merges the facts of a peer and pushes those that are new.
func (m *members) receiveGossip(gossip *message.Gossip, now time.Time) {
	var list []message.Fact
	for _, fact := range gossip.Facts {
		if fact.Kind == message.FactManifest {
			m.fetchIfNewer(fetchRequest{address: gossip.From, version: fact.Rank}, now)
			continue
		}
		list = append(list, fact)
	}
	m.pushFacts(m.mergeFacts(list, now))
	m.refute(now)
}

// mergeFacts merges facts into the store and returns those that were new.
func (m *members) mergeFacts(list []message.Fact, now time.Time) []message.Fact {
	learned := m.store.Merge(list, now)
	for _, fact := range learned {
		if fact.Kind == message.FactMember {
			m.applyMemberFact(fact)
			continue
		}
		m.snapshotChanged = true
		m.log.Debug("fact learned", zap.String("kind", string(fact.Kind)),
			zap.String("key", fact.Key), zap.Uint64("rank", fact.Rank))
	}
	return learned
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

// notifyConfiguration sends what has changed to the configuration duty. If its ring
// is full, the next call sends it.
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
	isWatcher := membership.IsWatcher(membership.Key(m.self), members, membership.MaxWatchers)
	if isWatcher == m.holdsWatches {
		return
	}
	for _, modes := range m.watchModes {
		if modes.TryPut(watchMode{long: isWatcher}) != nil {
			return
		}
	}
	m.holdsWatches = isWatcher
}

// randomPeers returns up to count distinct random peers.
func (m *members) randomPeers(count int) []string {
	peers := m.livePeers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(count, len(peers))]
}
