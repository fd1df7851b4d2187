package control

import (
	"math/rand/v2"
	"slices"
	"time"

	"kingcupcourse/internal/decision/membership"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
)

// seedShare is the share of exchanges that go to a configured address that is
// no known member, so that a split system finds together again.
const seedShare = 0.1

// gossip returns a message with the claim of the manifest in force.
func (m *members) gossip(list []message.Fact) message.Gossip {
	g := message.Gossip{From: m.self.Address, Facts: list}
	if m.manifest.version > 0 {
		claim := message.Fact{Kind: message.FactManifest, Rank: m.manifest.version}
		g.Facts = slices.Concat(list, []message.Fact{claim})
	}
	return g
}

// exchange sends the digest of all facts to one random peer. The answer holds
// what this process lacks and names what the peer lacks.
func (m *members) exchange() {
	address, ok := m.exchangePeer()
	if !ok {
		return
	}
	g := m.gossip(nil)
	g.Digest = m.store.Digest()
	m.send(m.exchanges, outgoing{address: address, gossip: g})
}

func (m *members) exchangePeer() (string, bool) {
	peers := m.pick(1)
	strangers := m.strangers()
	if len(strangers) > 0 && (len(peers) == 0 || rand.Float64() < seedShare) {
		return strangers[rand.IntN(len(strangers))], true
	}
	if len(peers) == 0 {
		return "", false
	}
	return peers[0], true
}

// answer returns what a peer that sent its digest lacks, and names what this
// process lacks. Gossip without a digest is a push; it gets no facts back.
func (m *members) answer(g *message.Gossip) *message.Gossip {
	if len(g.Digest) == 0 {
		reply := m.gossip(nil)
		return &reply
	}
	reply := m.gossip(m.store.Missing(g.Digest, maxFactsPerMessage))
	reply.Digest = m.store.Wanted(g.Digest, maxFactsPerMessage)
	return &reply
}

// sendWanted completes an exchange with the facts that the answer asks for.
func (m *members) sendWanted(answer *message.Gossip) {
	if asked := m.store.Asked(answer.Digest); len(asked) > 0 {
		m.send(m.exchanges, outgoing{address: answer.From, gossip: m.gossip(asked)})
	}
}

// push sends urgent facts to random peers. Each process that learns them
// pushes them on once.
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
// next exchange makes up for it.
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
		if member, ok := m.known[name]; ok && name != membership.Name(m.self) {
			peers = append(peers, member.Address)
		}
	}
	return peers
}

// strangers returns the configured addresses that belong to no live member.
func (m *members) strangers() []string {
	taken := map[string]bool{m.self.Address: true}
	for _, address := range m.peers() {
		taken[address] = true
	}
	var strangers []string
	for _, address := range m.seeds {
		if !taken[address] {
			strangers = append(strangers, address)
		}
	}
	return strangers
}

// urgent returns the facts that are not about members.
func urgent(news []message.Fact) []message.Fact {
	var list []message.Fact
	for _, fact := range news {
		if fact.Kind != message.FactMember {
			list = append(list, fact)
		}
	}
	return list
}
