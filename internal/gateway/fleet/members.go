package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"strings"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/decision/backoff"
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
	store   *platform.Client
	name    string
	address string
	log     *zap.Logger
}

// Serve implements supervisor.Duty. It ends once the entry is written.
func (r *registrar) Serve(ctx context.Context) error {
	for failures := 1; ; failures++ {
		err := r.write(ctx)
		if err == nil {
			r.log.Info("host registered", zap.String("address", r.address))
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
	if err == nil && json.Unmarshal(found.Value, &entry) == nil && entry.Address == r.address {
		return nil
	}
	_, err = r.store.Put(ctx, key, found.Version, hostEntry{Address: r.address})
	return err
}

// membership turns the store's changes into host lists. Its state is owned by
// the watcher duty.
type membership struct {
	self      string
	addresses map[string]string
	out       *ring.Ring[map[string]string]
	log       *zap.Logger
}

func (m *membership) deliver(ctx context.Context, update platform.Update) error {
	if update.Err != nil {
		return nil // the catalog logs outages of the store
	}
	if update.Full {
		m.addresses = map[string]string{}
	}
	for _, object := range update.Objects {
		m.apply(object)
	}
	if _, ok := m.addresses[m.self]; !ok {
		m.addresses[m.self] = ""
	}
	if len(update.Objects) == 0 && !update.Full {
		return nil
	}
	return m.out.Put(ctx, maps.Clone(m.addresses))
}

func (m *membership) apply(object platform.Object) {
	name := strings.TrimPrefix(object.Key, HostsPrefix+"/")
	var entry hostEntry
	switch err := json.Unmarshal(object.Value, &entry); {
	case object.Deleted:
		delete(m.addresses, name)
	case err != nil || entry.Address == "":
		m.log.Warn("invalid host entry ignored", zap.String("key", object.Key))
	default:
		m.addresses[name] = entry.Address
	}
}
