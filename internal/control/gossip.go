package control

import (
	"math/rand/v2"
	"slices"
	"time"

	"kingcupcourse/internal/decision/membership"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
)

// unknownAddressRatio is the fraction of probes sent to an address at which no
// live member is known, so that the parts of a partitioned system find each
// other again.
const unknownAddressRatio = 0.1

// newGossip returns a message with the facts and the version of the manifest in
// force.
func (m *members) newGossip(list []message.Fact) message.Gossip {
	g := message.Gossip{From: m.self.Address, Facts: list}
	if m.manifest.version > 0 {
		inForce := message.Fact{Kind: message.FactManifest, Rank: m.manifest.version}
		g.Facts = slices.Concat(list, []message.Fact{inForce})
	}
	return g
}

// probeRandomPeer sends the hash of all facts to a random peer. The reply shows
// that the peer is alive and whether it holds the same facts.
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

// advanceInitialSync probes several peers at once until the initial sync is done
// or has timed out.
func (m *members) advanceInitialSync(now time.Time) {
	if m.factsSynced {
		return
	}
	m.factsSynced = now.Sub(m.started) >= initialSyncTimeout
	for _, push := range m.pushes {
		m.probeVia(push)
	}
}

// completesComparison reports whether a reply completes a comparison of all facts.
func (m *members) completesComparison(r gossipReply) bool {
	return len(r.sent.gossip.Scope) > 0 || (r.gossip.Hash != 0 && r.gossip.Hash == m.store.Hash())
}

func (m *members) probeTarget() (string, bool) {
	peers := m.randomPeers(1)
	others := m.otherAddresses()
	if len(others) > 0 && (len(peers) == 0 || rand.Float64() < unknownAddressRatio) {
		return others[rand.IntN(len(others))], true
	}
	if len(peers) == 0 {
		return "", false
	}
	return peers[0], true
}

// replyTo returns the reply to a peer's gossip.
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

// continueComparison sends the next message of a comparison: the digest of the
// buckets that differ, or the facts that the peer wants.
func (m *members) continueComparison(address string, reply *message.Gossip) {
	if scope := m.store.DifferingBuckets(reply.Buckets); len(scope) > 0 {
		g := m.newGossip(nil)
		g.Scope, g.Digest = scope, m.store.Digest(scope)
		m.enqueue(m.probes, outgoingGossip{address: address, gossip: g})
		return
	}
	if wanted := m.store.Requested(reply.Digest); len(wanted) > 0 {
		m.enqueue(m.probes, outgoingGossip{address: address, gossip: m.newGossip(wanted)})
	}
}

// pushFacts sends new facts to random peers. Each process pushes a fact once, when
// it learns it.
func (m *members) pushFacts(learned []message.Fact) {
	if len(learned) > 0 {
		m.pushGossip(learned)
	}
}

// pushGossip sends the facts, if any, and the version of the manifest in force to
// random peers.
func (m *members) pushGossip(learned []message.Fact) {
	for i, address := range m.randomPeers(len(m.pushes)) {
		m.enqueue(m.pushes[i], outgoingGossip{address: address, gossip: m.newGossip(learned)})
	}
}

// enqueue passes gossip to a duty that calls the peer. If the ring is full the
// gossip is dropped; a later probe finds the difference.
func (m *members) enqueue(to *ring.Ring[outgoingGossip], o outgoingGossip) {
	if to.TryPut(o) != nil {
		m.metrics.gossipCalls.WithLabelValues("dropped").Inc()
	}
}

// fetchIfNewer fetches a manifest from a peer that announces a version above the
// one in force, unless that version was refused.
func (m *members) fetchIfNewer(request fetchRequest, now time.Time) {
	if request.version <= m.manifest.version || request.version == m.manifest.rejected {
		return
	}
	if request.version <= m.lastFetch.version && now.Sub(m.lastFetchAt) < fetchRetryInterval {
		return
	}
	if m.fetches[rand.IntN(len(m.fetches))].TryPut(request) == nil {
		m.lastFetch, m.lastFetchAt = request, now
	}
}

// livePeers returns the addresses of the other members that are alive.
func (m *members) livePeers() []string {
	var peers []string
	for key := range m.alive {
		if member, ok := m.known[key]; ok && key != membership.Key(m.self) {
			peers = append(peers, member.Address)
		}
	}
	return peers
}

// otherAddresses returns the addresses at which no live member is known: those of
// dead members, and those from the settings and the platform's list.
func (m *members) otherAddresses() []string {
	seen := map[string]bool{m.self.Address: true}
	for _, address := range m.livePeers() {
		seen[address] = true
	}
	var others []string
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			others = append(others, address)
		}
	}
	for _, address := range m.seeds {
		add(address)
	}
	for _, member := range m.known {
		add(member.Address)
	}
	return others
}
