package control

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/membership"
	"kingcupcourse/internal/message"
)

// snapshot is the shared state of the system as this process knows it. It is
// immutable.
type snapshot struct {
	members     []message.Member
	draining    map[string]bool
	badVersions map[core.EndpointVersion]message.BadVersion
	poisonMarks map[string]int
	moves       map[string]message.MoveStage
}

func (m *members) snapshot() snapshot {
	s := snapshot{
		members:     m.liveMembers(),
		draining:    map[string]bool{},
		badVersions: map[core.EndpointVersion]message.BadVersion{},
		poisonMarks: map[string]int{},
		moves:       map[string]message.MoveStage{},
	}
	for _, fact := range m.store.All() {
		s.addFact(fact)
	}
	return s
}

func (s *snapshot) addFact(fact message.Fact) {
	switch fact.Kind {
	case message.FactDraining:
		if isDraining(fact) {
			s.draining[fact.Key] = true
		}
	case message.FactBadVersion:
		s.addBadVersion(fact)
	case message.FactPoison:
		fingerprint, _, _ := strings.Cut(fact.Key, "/")
		s.poisonMarks[fingerprint]++
	case message.FactMove:
		if stage, err := decodeValue[message.MoveStage](fact.Value); err == nil {
			s.moves[fact.Key] = stage
		}
	}
}

// addBadVersion takes the version from the key, so that a verdict is effective
// even if its value cannot be decoded.
func (s *snapshot) addBadVersion(fact message.Fact) {
	pool, version, ok := strings.Cut(fact.Key, "/")
	if !ok {
		return
	}
	bad, _ := decodeValue[message.BadVersion](fact.Value)
	bad.Pool, bad.Version = pool, core.Version(version)
	s.badVersions[core.EndpointVersion{Pool: pool, Version: bad.Version}] = bad
}

// liveMembers returns this process and the other live members, sorted by role and
// host.
func (m *members) liveMembers() []message.Member {
	live := []message.Member{m.self}
	for key := range m.alive {
		if member, ok := m.known[key]; ok && key != membership.Key(m.self) {
			live = append(live, member)
		}
	}
	slices.SortFunc(live, func(a, b message.Member) int {
		return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.Host, b.Host))
	})
	return live
}

// encodeValue encodes the value of a fact. No value type can fail to encode.
func encodeValue(value any) json.RawMessage {
	text, err := json.Marshal(value)
	if err != nil {
		return nil
	}
	return text
}

// decodeValue decodes the value of a fact. An empty text gives the zero value.
func decodeValue[T any](text json.RawMessage) (value T, err error) {
	if len(text) == 0 {
		return value, nil
	}
	err = json.Unmarshal(text, &value)
	return value, err
}
