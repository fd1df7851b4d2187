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
	"kingcupcourse/internal/supervisor"
)

const (
	// maxRegisterBackoff bounds the delay between two attempts to register.
	maxRegisterBackoff = 2 * time.Second
	// membersWatchTimeout is how long one watch call for the hosts waits. A watch
	// returns a new host at once; the timeout only bounds how long a dead
	// connection goes unnoticed.
	membersWatchTimeout = 5 * time.Second
)

// registrar is the duty that writes this host's entry to the store.
type registrar struct {
	store *platform.Client
	name  string
	entry hostEntry
	log   *zap.Logger
}

// Serve implements supervisor.Duty. It ends once the entry is written.
func (r *registrar) Serve(ctx context.Context) error {
	for failures := 1; ; failures++ {
		err := r.write(ctx)
		if err == nil {
			r.log.Info("host registered", zap.String("address", r.entry.Address))
			return supervisor.ErrDone
		}
		r.log.Warn("host registration failed", zap.String("error", err.Error()))
		if err := ring.Pause(ctx, backoff.Delay(failures, maxRegisterBackoff, rand.Float64())); err != nil {
			return err
		}
	}
}

// write writes the entry unless it exists already, as it does if the response
// to an earlier write was lost.
func (r *registrar) write(ctx context.Context) error {
	key := HostsPrefix + "/" + r.name
	found, err := r.store.Get(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	var entry hostEntry
	if err == nil && json.Unmarshal(found.Value, &entry) == nil && entry == r.entry {
		return nil
	}
	_, err = r.store.Put(ctx, key, found.Version, r.entry)
	return err
}

// membership turns the store's changes into host lists, and publishes them. Its
// state is owned by the watcher duty.
type membership struct {
	self        string
	hosts       map[string]fleet.Host
	subscribers []Hosts
	log         *zap.Logger
}

// Hosts is a ring that holds only the latest list of the hosts.
type Hosts = *ring.Latest[[]fleet.Host]

// newMembership returns a membership that contains only the host itself.
func newMembership(self fleet.Host, log *zap.Logger) *membership {
	return &membership{self: self.Name, hosts: map[string]fleet.Host{self.Name: self}, log: log}
}

// subscribe returns a ring that holds only the latest list.
func (m *membership) subscribe() Hosts {
	subscriber := ring.NewLatest[[]fleet.Host]()
	subscriber.Publish(m.list())
	m.subscribers = append(m.subscribers, subscriber)
	return subscriber
}

func (m *membership) list() []fleet.Host { return slices.Collect(maps.Values(m.hosts)) }

func (m *membership) deliver(_ context.Context, update platform.Update) error {
	if update.Err != nil {
		return nil // the catalog logs outages of the store
	}
	if update.Full {
		maps.DeleteFunc(m.hosts, func(name string, _ fleet.Host) bool { return name != m.self })
	}
	for _, object := range update.Objects {
		m.apply(object)
	}
	if len(update.Objects) == 0 && !update.Full {
		return nil
	}
	for _, subscriber := range m.subscribers {
		subscriber.Publish(m.list())
	}
	return nil
}

func (m *membership) apply(object platform.Object) {
	name := strings.TrimPrefix(object.Key, HostsPrefix+"/")
	var entry hostEntry
	switch err := json.Unmarshal(object.Value, &entry); {
	case name == m.self:
	case object.Deleted:
		delete(m.hosts, name)
	case err != nil || entry.Address == "":
		m.log.Warn("invalid host entry ignored", zap.String("key", object.Key))
	default:
		m.hosts[name] = fleet.Host{Name: name, Address: entry.Address, Processor: entry.Processor}
	}
}
