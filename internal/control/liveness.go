package control

import (
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/decision/membership"
	"kingcupcourse/internal/message"
)

// announceSelf tells all processes about this one.
func (m *members) announceSelf(now time.Time) {
	name := membership.Key(m.self)
	seen, _ := m.store.Get(message.FactMember, name)
	m.ownRank = membership.NextRank(now, seen.Rank)
	m.pushFacts(m.mergeFacts([]message.Fact{{
		Kind:          message.FactMember,
		Key:           name,
		Rank:          m.ownRank,
		ExpiresUnixMS: now.Add(membership.FactTTL).UnixMilli(),
		Value:         encodeValue(m.self),
	}}, now))
}

// announceIfDue renews the announcement before it expires.
func (m *members) announceIfDue(now time.Time) {
	raised := m.store.RankRaisedAt(message.FactMember, membership.Key(m.self))
	if now.Sub(raised) >= membership.AnnounceInterval {
		m.announceSelf(now)
	}
}

// refute announces this process again if others hold something else about it:
// a suspicion, or what an earlier run of the process told.
func (m *members) refute(now time.Time) {
	held, ok := m.store.Get(message.FactMember, membership.Key(m.self))
	if ok && held.Rank != m.ownRank {
		m.log.Info("announcing again", zap.Uint64("held_rank", held.Rank), zap.Uint64("own_rank", m.ownRank))
		m.announceSelf(now)
	}
}

// suspectMemberAt tells all processes that the member at an address did not answer.
func (m *members) suspectMemberAt(address string, now time.Time) {
	name, member, ok := m.memberAt(address)
	if !ok || member.Suspect || now.Sub(m.suspectedAt[name]) < membership.SuspicionCooldown {
		return
	}
	announced, held := m.store.Get(message.FactMember, name)
	if !held {
		return
	}
	m.log.Warn("member did not answer, suspected", zap.String("member", name))
	m.suspectedAt[name] = now
	member.Suspect = true
	m.pushFacts(m.mergeFacts([]message.Fact{membership.SuspectFact(announced, encodeValue(member))}, now))
}

// memberAt returns the member, other than this process, that is believed to
// be alive at an address.
func (m *members) memberAt(address string) (string, message.Member, bool) {
	for name := range m.alive {
		member, ok := m.known[name]
		if ok && member.Address == address && name != membership.Key(m.self) {
			return name, member, true
		}
	}
	return "", message.Member{}, false
}

// applyMemberFact takes in a newer fact about a member.
func (m *members) applyMemberFact(fact message.Fact) {
	member, err := decodeValue[message.Member](fact.Value)
	if err != nil {
		m.log.Warn("malformed member", zap.String("member", fact.Key), zap.Error(err))
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

// dropExpiredSuspects drops the suspects that have not announced themselves in time.
func (m *members) dropExpiredSuspects(now time.Time) {
	for name := range m.alive {
		raised := m.store.RankRaisedAt(message.FactMember, name)
		if name != membership.Key(m.self) && !membership.Alive(m.known[name], raised, now) {
			m.setAlive(name, false)
		}
	}
}

func (m *members) setAlive(name string, alive bool) {
	if m.alive[name] == alive {
		return
	}
	m.snapshotChanged = true
	if alive {
		m.alive[name] = true
		m.log.Info("member found", zap.String("member", name))
		return
	}
	delete(m.alive, name)
	m.log.Warn("member taken for dead", zap.String("member", name))
}
