package control

import (
	"math/rand/v2"
	"slices"
	"time"

	"kingcupcourse/internal/decision/membership"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
)

// unknownAddressRatio is the share of probes that go to an address at which no live
// member is known, so that a split system finds together again.
const unknownAddressRatio = 0.1

// newGossip returns a message with the claim of the manifest in force.
func (m *members) newGossip(list []message.Fact) message.Gossip {
	g := message.Gossip{From: m.self.Address, Facts: list}
	if m.manifest.version > 0 {
		claim := message.Fact{Kind: message.FactManifest, Rank: m.manifest.version}
		g.Facts = slices.Concat(list, []message.Fact{claim})
	}
	return g
}

// probeRandomPeer sends the hash of all facts to one random peer, which shows whether it
// is alive and holds the same facts.
func (m *members) probeRandomPeer() { m.probeVia(m.probes) }

func (m *members) probeVia(to *ring.Ring[outgoingGossip]) {
	address, ok := m.probeTarget()
	if !ok {
		return
	}
	g := m.newGossip(nil)
	g.Hash = m.store.Hash()
	m.enqueue(to, outgoingGossip{address: address, gossip: g})
}

// advanceInitialSync probes more peers at once until what they share is known.
func (m *members) advanceInitialSync(now time.Time) {
	if m.factsSynced {
		return
	}
	m.factsSynced = now.Sub(m.started) >= initialSyncTimeout
	for _, push := range m.pushes {
		m.probeVia(push)
	}
}

// completesComparison tells whether an answer completes a comparison of all facts.
func (m *members) completesComparison(e gossipReply) bool {
	return len(e.sent.gossip.Scope) > 0 || (e.gossip.Hash != 0 && e.gossip.Hash == m.store.Hash())
}

func (m *members) probeTarget() (string, bool) {
	peers := m.randomPeers(1)
	otherAddresses := m.otherAddresses()
	if len(otherAddresses) > 0 && (len(peers) == 0 || rand.Float64() < unknownAddressRatio) {
		return otherAddresses[rand.IntN(len(otherAddresses))], true
	}
	if len(peers) == 0 {
		return "", false
	}
	return peers[0], true
}

// replyTo returns the replyTo to a peer's gossip.
func (m *members) replyTo(g *message.Gossip) *message.Gossip {
	reply := m.newGossip(nil)
	switch {
	case len(g.Scope) > 0:
		reply = m.newGossip(m.store.Missing(g.Scope, g.Digest, maxFactsPerMessage))
		reply.Digest = m.store.Wanted(g.Digest, maxFactsPerMessage)
	case g.Hash != 0:
		reply.Hash = m.store.Hash()
		if reply.Hash != g.Hash {
			reply.Buckets = m.store.BucketHashes()
		}
	}
	return &reply
}

// continueComparison sends what an answer calls for: the digest of the
// buckets that differ, or the facts that the peer wants.
func (m *members) continueComparison(address string, answer *message.Gossip) {
	if scope := m.store.DifferingBuckets(answer.Buckets); len(scope) > 0 {
		g := m.newGossip(nil)
		g.Scope, g.Digest = scope, m.store.Digest(scope)
		m.enqueue(m.probes, outgoingGossip{address: address, gossip: g})
		return
	}
	if asked := m.store.Requested(answer.Digest); len(asked) > 0 {
		m.enqueue(m.probes, outgoingGossip{address: address, gossip: m.newGossip(asked)})
	}
}

// pushFacts sends news to random peers. Each process that learns it pushes it on
// once.
func (m *members) pushFacts(news []message.Fact) {
	if len(news) > 0 {
		m.pushGossip(news)
	}
}

// pushGossip sends facts, which may be none, and the claim of the manifest in
// force to random peers.
func (m *members) pushGossip(news []message.Fact) {
	for i, address := range m.randomPeers(len(m.pushes)) {
		m.enqueue(m.pushes[i], outgoingGossip{address: address, gossip: m.newGossip(news)})
	}
}

// enqueue hands gossip to a duty that calls the peer. A full ring drops it; the
// next probe makes up for it.
func (m *members) enqueue(to *ring.Ring[outgoingGossip], o outgoingGossip) {
	if to.TryPut(o) != nil {
		m.metrics.gossipCalls.WithLabelValues("dropped").Inc()
	}
}

// fetchIfNewer fetches a manifest from a peer that claims a version above
// the one in force that was not refused.
func (m *members) fetchIfNewer(f fetchRequest, now time.Time) {
	if f.version <= m.manifest.version || f.version == m.manifest.rejected {
		return
	}
	if f.version <= m.lastFetch.version && now.Sub(m.lastFetchAt) < fetchRetryInterval {
		return
	}
	if m.fetches[rand.IntN(len(m.fetches))].TryPut(f) == nil {
		m.lastFetch, m.lastFetchAt = f, now
	}
}

// livePeers returns the addresses of the other members that are alive.
func (m *members) livePeers() []string {
	var peers []string
	for name := range m.alive {
		if member, ok := m.known[name]; ok && name != membership.Key(m.self) {
			peers = append(peers, member.Address)
		}
	}
	return peers
}

// otherAddresses returns the addresses, of dead members or from the settings and
// the platform's list, at which no live member is known.
func (m *members) otherAddresses() []string {
	taken := map[string]bool{m.self.Address: true}
	for _, address := range m.livePeers() {
		taken[address] = true
	}
	var otherAddresses []string
	add := func(address string) {
		if !taken[address] {
			taken[address] = true
			otherAddresses = append(otherAddresses, address)
		}
	}
	for _, address := range m.seeds {
		add(address)
	}
	for _, member := range m.known {
		add(member.Address)
	}
	return otherAddresses
}
