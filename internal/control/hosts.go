package control

import (
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/decision/draining"
	"kingcupcourse/internal/decision/poison"
	"kingcupcourse/internal/message"
)

const (
	// LeavingLifetime is how long a FactLeaving lasts. The platform's list
	// renews it for an endpoint that is still leaving then.
	LeavingLifetime = time.Hour
	// PoisonLifetime is how long a FactPoison lasts unless its finder says
	// otherwise.
	PoisonLifetime = poison.Retention
)

// completed fills in what a finder may leave out of a fact.
func completed(fact message.Fact, now time.Time) message.Fact {
	lifetime := time.Duration(0)
	switch fact.Kind {
	case message.FactDraining:
		lifetime = LeavingLifetime
	case message.FactPoison:
		lifetime = PoisonLifetime
	default:
		return fact
	}
	if fact.Rank == 0 {
		fact.Rank = uint64(now.UnixMilli())
	}
	if fact.ExpiresUnixMS == 0 {
		fact.ExpiresUnixMS = now.Add(lifetime).UnixMilli()
	}
	return fact
}

// leavingState returns what all agree on about an endpoint.
func (m *members) leavingState(endpoint string) draining.State {
	fact, ok := m.store.Get(message.FactDraining, endpoint)
	if !ok {
		return draining.State{}
	}
	return draining.State{Draining: isLeaving(fact), ObservedAt: time.UnixMilli(int64(fact.Rank))}
}

func isLeaving(fact message.Fact) bool {
	value, err := decodeValue[message.EndpointDraining](fact.Value)
	return err != nil || !value.Live
}

// isRepeatedRefusal tells whether a fact only repeats a refusal that was told
// a moment ago.
func (m *members) isRepeatedRefusal(fact message.Fact, now time.Time) bool {
	return fact.Kind == message.FactDraining && isLeaving(fact) && !draining.ShouldAnnounce(m.leavingState(fact.Key), now)
}

// adoptList takes in a newer list of the platform.
func (m *members) adoptList(list message.HostList, now time.Time) {
	states := make(map[string]bool, len(list.Endpoints))
	for _, e := range list.Endpoints {
		states[e.Name] = e.State == message.ListedDraining
	}
	m.list.Update(states, now)
	for _, host := range list.Hosts {
		m.addSeed(host.ControlAddress)
	}
	m.applyList(now)
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

// applyList reports the endpoints whose state the list changes.
func (m *members) applyList(now time.Time) {
	for _, endpoint := range m.list.Names() {
		is, change := m.list.Decide(endpoint, m.leavingState(endpoint), now)
		if !change {
			continue
		}
		m.log.Info("endpoint state from the platform's list",
			zap.String("endpoint", endpoint), zap.Bool("leaving", is))
		m.report(message.Fact{
			Kind:  message.FactDraining,
			Key:   endpoint,
			Value: encodeValue(message.EndpointDraining{Live: !is}),
		}, now)
	}
}
