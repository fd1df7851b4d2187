package control

import (
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/decision/draining"
	"kingcupcourse/internal/decision/poison"
	"kingcupcourse/internal/message"
)

const (
	// DrainingFactTTL is the lifetime of a FactDraining. The platform's list
	// renews it for an endpoint that still drains then.
	DrainingFactTTL = time.Hour
	// PoisonFactTTL is the lifetime of a FactPoison that is reported without an
	// expiry.
	PoisonFactTTL = poison.Retention
)

// withDefaults sets the rank and the expiry of a draining or poison fact that was
// reported without them.
func withDefaults(fact message.Fact, now time.Time) message.Fact {
	ttl := time.Duration(0)
	switch fact.Kind {
	case message.FactDraining:
		ttl = DrainingFactTTL
	case message.FactPoison:
		ttl = PoisonFactTTL
	default:
		return fact
	}
	if fact.Rank == 0 {
		fact.Rank = uint64(now.UnixMilli())
	}
	if fact.ExpiresUnixMS == 0 {
		fact.ExpiresUnixMS = now.Add(ttl).UnixMilli()
	}
	return fact
}

// drainingState returns the gossiped draining state of an endpoint.
func (m *members) drainingState(endpoint string) draining.State {
	fact, ok := m.store.Get(message.FactDraining, endpoint)
	if !ok {
		return draining.State{}
	}
	return draining.State{Draining: isDraining(fact), ObservedAt: time.UnixMilli(int64(fact.Rank))}
}

func isDraining(fact message.Fact) bool {
	value, err := decodeValue[message.EndpointDraining](fact.Value)
	return err != nil || !value.Live
}

// isDuplicateRefusal reports whether a fact only repeats a recently published
// refusal of an endpoint.
func (m *members) isDuplicateRefusal(fact message.Fact, now time.Time) bool {
	return fact.Kind == message.FactDraining && isDraining(fact) && !draining.ShouldAnnounce(m.drainingState(fact.Key), now)
}

// applyHostList applies a new version of the platform's list.
func (m *members) applyHostList(list message.HostList, now time.Time) {
	states := make(map[string]bool, len(list.Endpoints))
	for _, e := range list.Endpoints {
		states[e.Name] = e.State == message.ListedDraining
	}
	m.platformList.Update(states, now)
	for _, host := range list.Hosts {
		m.addSeed(host.ControlAddress)
	}
	m.publishListChanges(now)
}

func (m *members) addSeed(address string) {
	for _, seed := range m.seeds {
		if seed == address {
			return
		}
	}
	if address != "" {
		m.seeds = append(m.seeds, address)
	}
}

// publishListChanges publishes the endpoints whose state the list changes.
func (m *members) publishListChanges(now time.Time) {
	for _, endpoint := range m.platformList.Names() {
		drains, changed := m.platformList.Decide(endpoint, m.drainingState(endpoint), now)
		if !changed {
			continue
		}
		m.log.Info("endpoint state from the platform's list",
			zap.String("endpoint", endpoint), zap.Bool("leaving", drains))
		m.addLocalFact(message.Fact{
			Kind:  message.FactDraining,
			Key:   endpoint,
			Value: encodeValue(message.EndpointDraining{Live: !drains}),
		}, now)
	}
}
