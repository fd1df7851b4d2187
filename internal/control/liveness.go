package control

import (
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/decision/membership"
	"kingcupcourse/internal/message"
)

// announceSelf publishes the member fact of this process.
func (m *members) announceSelf(now time.Time) {
	key := membership.Key(m.self)
	latest, _ := m.store.Get(message.FactMember, key)
	m.ownRank = membership.NextRank(now, latest.Rank)
	m.pushFacts(m.mergeFacts([]message.Fact{{
		Kind:          message.FactMember,
		Key:           key,
		Rank:          m.ownRank,
		ExpiresUnixMS: now.Add(membership.FactTTL).UnixMilli(),
		Value:         encodeValue(m.self),
	}}, now))
}

// announceIfDue renews the announcement before it expires.
func (m *members) announceIfDue(now time.Time) {
	announcedAt := m.store.RankRaisedAt(message.FactMember, membership.Key(m.self))
	if now.Sub(announcedAt) >= membership.AnnounceInterval {
		m.announceSelf(now)
	}
}

// refute announces this process again if the shared member fact differs from its
// own: it holds a suspicion, or the announcement of an earlier run.
func (m *members) refute(now time.Time) {
	held, ok := m.store.Get(message.FactMember, membership.Key(m.self))
	if ok && held.Rank != m.ownRank {
		m.log.Info("announcing again", zap.Uint64("held_rank", held.Rank), zap.Uint64("own_rank", m.ownRank))
		m.announceSelf(now)
	}
}

// suspectMemberAt publishes the suspicion that the member at an address is dead,
// because it did not reply.
func (m *members) suspectMemberAt(address string, now time.Time) {
	key, member, ok := m.memberAt(address)
	if !ok || member.Suspect || now.Sub(m.suspectedAt[key]) < membership.SuspicionCooldown {
		return
	}
	announced, known := m.store.Get(message.FactMember, key)
	if !known {
		return
	}
	m.log.Warn("member did not answer, suspected", zap.String("member", key))
	m.suspectedAt[key] = now
	member.Suspect = true
	m.pushFacts(m.mergeFacts([]message.Fact{membership.SuspectFact(announced, encodeValue(member))}, now))
}

// memberAt returns the key and the data of the live member at an address, other
// than this process.
func (m *members) memberAt(address string) (string, message.Member, bool) {
	for key := range m.alive {
		member, ok := m.known[key]
		if ok && member.Address == address && key != membership.Key(m.self) {
			return key, member, true
		}
	}
	return "", message.Member{}, false
}

// applyMemberFact applies a new fact about a member.
func (m *members) applyMemberFact(fact message.Fact) {
	member, err := decodeValue[message.Member](fact.Value)
	if err != nil {
		m.log.Warn("member fact malformed", zap.String("member", fact.Key), zap.Error(err))
		return
	}
	if m.known[fact.Key] != member {
		m.known[fact.Key] = member
		m.snapshotChanged = true
	}
	if !member.Suspect {
		m.setAlive(fact.Key, true)
	}
}

// dropExpiredSuspects marks suspects as dead that have not announced themselves in
// time.
func (m *members) dropExpiredSuspects(now time.Time) {
	for key := range m.alive {
		announcedAt := m.store.RankRaisedAt(message.FactMember, key)
		if key != membership.Key(m.self) && !membership.Alive(m.known[key], announcedAt, now) {
			m.setAlive(key, false)
		}
	}
}

func (m *members) setAlive(key string, alive bool) {
	if m.alive[key] == alive {
		return
	}
	m.snapshotChanged = true
	if alive {
		m.alive[key] = true
		m.log.Info("member found", zap.String("member", key))
		return
	}
	delete(m.alive, key)
	m.log.Warn("member taken for dead", zap.String("member", key))
}
