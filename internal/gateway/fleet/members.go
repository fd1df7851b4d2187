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
	// registerBackoff bounds the wait between two tries to register.
	registerBackoff = 2 * time.Second
	// membersWait is how long a watch of the hosts waits. A new host is known
	// to the others by the watch's answer, so the wait only bounds how long a
	// silent connection goes unnoticed.
	membersWait = 5 * time.Second
)

// register is the duty that writes the host's own entry.
type register struct {
	store   *platform.Client
	name    string
	address string
	log     *zap.Logger
}

// Serve implements supervisor.Duty. It is done when the entry is written.
func (r *register) Serve(ctx context.Context) error {
	for failures := 1; ; failures++ {
		err := r.write(ctx)
		if err == nil {
			r.log.Info("host registered", zap.String("address", r.address))
			return supervisor.ErrDone
		}
		r.log.Warn("host not registered yet", zap.String("error", err.Error()))
		if err := ring.Pause(ctx, backoff.Delay(failures, registerBackoff, rand.Float64())); err != nil {
			return err
		}
	}
}

// write writes the entry unless it is there. After a lost answer it finds its
// own entry.
func (r *register) write(ctx context.Context) error {
	key := HostsPrefix + "/" + r.name
	found, err := r.store.Get(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	var entry host
	if err == nil && json.Unmarshal(found.Value, &entry) == nil && entry.Address == r.address {
		return nil
	}
	_, err = r.store.Put(ctx, key, found.Version, host{Address: r.address})
	return err
}

// membership turns the store's news into lists of hosts. Its state belongs to
// the follower's duty.
type membership struct {
	self      string
	addresses map[string]string
	out       *ring.Ring[map[string]string]
	log       *zap.Logger
}

func (m *membership) deliver(ctx context.Context, news platform.Update) error {
	if news.Err != nil {
		return nil // the catalog's followers log that the store is away
	}
	if news.Full {
		m.addresses = map[string]string{}
	}
	for _, object := range news.Objects {
		m.take(object)
	}
	if _, ok := m.addresses[m.self]; !ok {
		m.addresses[m.self] = ""
	}
	if len(news.Objects) == 0 && !news.Full {
		return nil
	}
	return m.out.Put(ctx, maps.Clone(m.addresses))
}

func (m *membership) take(object platform.Object) {
	name := strings.TrimPrefix(object.Key, HostsPrefix+"/")
	var entry host
	switch err := json.Unmarshal(object.Value, &entry); {
	case object.Deleted:
		delete(m.addresses, name)
	case err != nil || entry.Address == "":
		m.log.Warn("host's entry not understood", zap.String("key", object.Key))
	default:
		m.addresses[name] = entry.Address
	}
}
