package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/decision/backoff"
	"kingcupcourse/internal/decision/fleet"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/ring"
)

const (
	// maxRegisterBackoff bounds the delay between two attempts to register, or to
	// discover hosts.
	maxRegisterBackoff = time.Second
	// settleTime is how long a host that registers for the first time waits for
	// others that start at the same time.
	settleTime = 500 * time.Millisecond
)

// registrar is the duty that writes this host's entry to the store, and discovers
// some hosts of the fleet. It writes the entry again if the store has lost it.
type registrar struct {
	store *platform.Client
	name  string
	entry hostEntry
	// discovered takes the discovered hosts.
	discovered func(context.Context, []fleet.Host) error
	// lost tells that a list of the hosts lacks the entry.
	lost *ring.Latest[struct{}]
	log  *zap.Logger

	registered, hasDiscovered bool
	// restarted reports that the host was registered before.
	restarted bool
}

// Serve implements supervisor.Duty.
func (r *registrar) Serve(ctx context.Context) error {
	for {
		if err := r.registerAndDiscover(ctx); err != nil {
			return err
		}
		if _, err := r.lost.Take(ctx); err != nil {
			return err
		}
		r.log.Warn("host's entry is missing in the store")
		r.registered = false
	}
}

// registerAndDiscover returns once the entry is written and hosts were discovered.
func (r *registrar) registerAndDiscover(ctx context.Context) error {
	for failures := 1; ; failures++ {
		if err := r.register(ctx); err != nil {
			r.log.Warn("host registration failed", zap.String("error", err.Error()))
		}
		if err := r.discover(ctx); err != nil {
			r.log.Warn("discovery of hosts failed", zap.String("error", err.Error()))
		}
		if r.registered && r.hasDiscovered {
			return nil
		}
		if err := ring.Pause(ctx, backoff.Delay(failures, maxRegisterBackoff, rand.Float64())); err != nil {
			return err
		}
	}
}

// register writes the entry unless it exists already, as it does after a restart,
// or if the response to an earlier write was lost.
func (r *registrar) register(ctx context.Context) error {
	if r.registered {
		return nil
	}
	key := HostsPrefix + "/" + r.name
	_, err := r.store.Put(ctx, key, 0, r.entry)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		r.registered = true
		r.log.Info("host registered", zap.String("address", r.entry.Address))
		return ring.Pause(ctx, settleTime)
	case !errors.As(err, &conflict):
		return err
	}
	r.restarted, err = true, nil
	var entry hostEntry
	if json.Unmarshal(conflict.Value, &entry) != nil || entry != r.entry {
		_, err = r.store.Put(ctx, key, conflict.Version, r.entry)
	}
	if r.registered = err == nil; r.registered {
		r.log.Info("host registered", zap.String("address", r.entry.Address), zap.Uint64("revision", conflict.Version))
	}
	return err
}

// discover reads the first page of the hosts. It shows hosts from which this host
// can learn the others. A list that is out of date will do after a restart, when the
// others have been listed for some time.
func (r *registrar) discover(ctx context.Context) error {
	if r.hasDiscovered {
		return nil
	}
	list := r.store.ListFirst
	if r.restarted {
		list = r.store.ListFirstStale
	}
	page, err := list(ctx, HostsPrefix)
	if err != nil {
		return err
	}
	hosts := []fleet.Host{r.entry.host(r.name)}
	for _, object := range page {
		if host, ok := decodeHost(object); ok && host.Name != r.name {
			hosts = append(hosts, host)
		}
	}
	r.hasDiscovered = true
	return r.discovered(ctx, hosts)
}

// decodeHost decodes a host's entry. It returns false for an entry that describes
// no host.
func decodeHost(object platform.Object) (fleet.Host, bool) {
	var entry hostEntry
	err := json.Unmarshal(object.Value, &entry)
	return entry.host(strings.TrimPrefix(object.Key, HostsPrefix+"/")), err == nil && entry.Address != ""
}

// membership turns the store's changes into host lists, and publishes them. Its
// state is owned by the duty that delivers the changes.
type membership struct {
	self        string
	hosts       map[string]fleet.Host
	subscribers []Hosts
	// lost takes the news that a list of the hosts lacks this host's entry.
	lost *ring.Latest[struct{}]
	log  *zap.Logger
}

// Hosts is a ring that holds only the latest hosts.
type Hosts = *ring.Latest[*fleet.Ring]

// newMembership returns a membership that contains only the host itself.
func newMembership(self fleet.Host, log *zap.Logger) *membership {
	return &membership{self: self.Name, hosts: map[string]fleet.Host{self.Name: self}, lost: ring.NewLatest[struct{}](), log: log}
}

// subscribe returns a ring that holds only the latest hosts, at first this host alone.
func (m *membership) subscribe() Hosts {
	subscriber := m.subscribeListed()
	subscriber.Publish(m.ring())
	return subscriber
}

// subscribeListed returns a ring that holds only the latest hosts, and nothing until
// the store's list of them is known.
func (m *membership) subscribeListed() Hosts {
	subscriber := ring.NewLatest[*fleet.Ring]()
	m.subscribers = append(m.subscribers, subscriber)
	return subscriber
}

func (m *membership) ring() *fleet.Ring { return fleet.NewRing(slices.Collect(maps.Values(m.hosts))) }

func (m *membership) deliver(_ context.Context, update platform.Update) error {
	if update.Err != nil {
		return nil // the catalog logs outages of the store
	}
	if update.Full {
		maps.DeleteFunc(m.hosts, func(name string, _ fleet.Host) bool { return name != m.self })
		isSelf := func(o platform.Object) bool { return o.Key == HostsPrefix+"/"+m.self }
		if !slices.ContainsFunc(update.Objects, isSelf) {
			m.lost.Publish(struct{}{})
		}
	}
	for _, object := range update.Objects {
		m.apply(object)
	}
	if len(update.Objects) == 0 && !update.Full {
		return nil
	}
	hosts := m.ring()
	for _, subscriber := range m.subscribers {
		subscriber.Publish(hosts)
	}
	return nil
}

func (m *membership) apply(object platform.Object) {
	host, valid := decodeHost(object)
	switch {
	case host.Name == m.self:
	case object.Deleted:
		delete(m.hosts, host.Name)
	case !valid:
		m.log.Warn("invalid host entry ignored", zap.String("key", object.Key))
	default:
		m.hosts[host.Name] = host
	}
}
