package control

import (
	"math/rand/v2"
	"slices"
	"time"

	"kingcupcourse/internal/decision/membership"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
)

// unknownShare is the share of probes that go to an address at which no live
// member is known, so that a split system finds together again.
const unknownShare = 0.1

// gossip returns a message with the claim of the manifest in force.
func (m *members) gossip(list []message.Fact) message.Gossip {
	g := message.Gossip{From: m.self.Address, Facts: list}
	if m.manifest.version > 0 {
		claim := message.Fact{Kind: message.FactManifest, Rank: m.manifest.version}
		g.Facts = slices.Concat(list, []message.Fact{claim})
	}
	return g
}

// probe sends the hash of all facts to one random peer, which shows whether it
// is alive and holds the same facts.
func (m *members) probe() { m.probeBy(m.probes) }

func (m *members) probeBy(to *ring.Ring[outgoing]) {
	address, ok := m.probeTarget()
	if !ok {
		return
	}
	g := m.gossip(nil)
	g.Hash = m.store.Hash()
	m.send(to, outgoing{address: address, gossip: g})
}

// initialSync probes more peers at once until what they share is known.
func (m *members) initialSync(now time.Time) {
	if m.synced {
		return
	}
	m.synced = now.Sub(m.started) >= initialSyncTimeout
	for _, push := range m.pushes {
		m.probeBy(push)
	}
}

// isCompared tells whether an answer completes a comparison of all facts.
func (m *members) isCompared(e answered) bool {
	return len(e.sent.gossip.Scope) > 0 || (e.gossip.Hash != 0 && e.gossip.Hash == m.store.Hash())
}

func (m *members) probeTarget() (string, bool) {
	peers := m.pick(1)
	otherAddresses := m.otherAddresses()
	if len(otherAddresses) > 0 && (len(peers) == 0 || rand.Float64() < unknownShare) {
		return otherAddresses[rand.IntN(len(otherAddresses))], true
	}
	if len(peers) == 0 {
		return "", false
	}
	return peers[0], true
}

// answer returns the answer to a peer's gossip.
func (m *members) answer(g *message.Gossip) *message.Gossip {
	reply := m.gossip(nil)
	switch {
	case len(g.Scope) > 0:
		reply = m.gossip(m.store.Missing(g.Scope, g.Digest, maxFactsPerMessage))
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
		g := m.gossip(nil)
		g.Scope, g.Digest = scope, m.store.Digest(scope)
		m.send(m.probes, outgoing{address: address, gossip: g})
		return
	}
	if asked := m.store.Requested(answer.Digest); len(asked) > 0 {
		m.send(m.probes, outgoing{address: address, gossip: m.gossip(asked)})
	}
}

// push sends news to random peers. Each process that learns it pushes it on
// once.
func (m *members) push(news []message.Fact) {
	if len(news) > 0 {
		m.pushAll(news)
	}
}

// pushAll sends facts, which may be none, and the claim of the manifest in
// force to random peers.
func (m *members) pushAll(news []message.Fact) {
	for i, address := range m.pick(len(m.pushes)) {
		m.send(m.pushes[i], outgoing{address: address, gossip: m.gossip(news)})
	}
}

// send hands gossip to a duty that calls the peer. A full ring drops it; the
// next probe makes up for it.
func (m *members) send(to *ring.Ring[outgoing], o outgoing) {
	if to.TryPut(o) != nil {
		m.metrics.gossipCalls.WithLabelValues("dropped").Inc()
	}
}

// considerManifest fetches a manifest from a peer that claims a version above
// the one in force that was not refused.
func (m *members) considerManifest(f fetch, now time.Time) {
	if f.version <= m.manifest.version || f.version == m.manifest.rejected {
		return
	}
	if f.version <= m.lastFetch.version && now.Sub(m.lastFetchAt) < fetchAgainAfter {
		return
	}
	if m.fetches[rand.IntN(len(m.fetches))].TryPut(f) == nil {
		m.lastFetch, m.lastFetchAt = f, now
	}
}

// peers returns the addresses of the other members that are alive.
func (m *members) peers() []string {
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
	for _, address := range m.peers() {
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
