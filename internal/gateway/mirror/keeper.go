package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/decision/mirror"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/ring"
)

const (
	// probePeriod is the time between two probes of the store by a host that others
	// learn from, or that waits for the store to answer again.
	probePeriod = 300 * time.Millisecond
	// maxProbeJitter spreads the probes of hosts that lost their upstreams at the
	// same time.
	maxProbeJitter = 600 * time.Millisecond
	// urgentAge is the age of this host's state from which it asks for an answer at
	// once. It is more than an upstream that works takes for an answer.
	urgentAge = holdTime + 200*time.Millisecond
	// changesPause is the time from an answer of the store with changes to the next
	// call, so that many changes in a short time take few calls. It applies in
	// fleets in which other hosts wait for the changes.
	changesPause = 150 * time.Millisecond
)

// errStoreLost is the error of the updates that report the loss of the store.
var errStoreLost = errors.New("neither the store nor an upstream answers")

// keeper is the duty that owns the copies. It decides where their changes come
// from and hands them on.
type keeper struct {
	Config
	inbox    *ring.Ring[message]
	prefixes map[string]*prefix
	source   *mirror.Source

	// started is set by the discovery of the first hosts.
	started bool
	polls   []poll
	// upstreamWaits and probeWaits hold withheld replies.
	upstreamWaits *nextUpstream
	probeWaits    *nextProbe
	nextProbeAt   time.Time
	lastServed    time.Time
	// failing reports that the loss of the store has been delivered. readsStore is
	// the last logged state.
	failing, readsStore bool
	undelivered         []delivery
	nextTick            time.Time
}

// prefix is the state of one prefix.
type prefix struct {
	name    string
	replica *mirror.Replica[platform.Object]
	deliver func(context.Context, platform.Update) error
	// waits is the withheld reply to the watcher, nextCall the earliest time of its
	// next call.
	waits    *nextCursor
	nextCall time.Time
}

// delivery is an update for the duties of this host.
type delivery struct {
	to     *prefix
	update platform.Update
}

func newKeeper(c Config) *keeper {
	return &keeper{Config: c, inbox: ring.New[message]("gateway_mirror", inboxCapacity), prefixes: map[string]*prefix{},
		source: mirror.NewSource()}
}

func (k *keeper) follow(name string, deliver func(context.Context, platform.Update) error) {
	k.prefixes[name] = &prefix{name: name, deliver: deliver, replica: mirror.NewReplica[platform.Object]()}
}

// Serve implements supervisor.Duty.
func (k *keeper) Serve(ctx context.Context) error {
	return ring.LoopUntil(ctx, k.inbox, func(m message) error {
		m.handle(k, time.Now())
		return k.advance(ctx)
	}, func() time.Time { return k.nextTick }, func() error { return k.advance(ctx) })
}

// advance delivers the updates, and sends the withheld replies that are due.
func (k *keeper) advance(ctx context.Context) error {
	if err := k.deliver(ctx); err != nil {
		return err
	}
	now := time.Now()
	k.nextTick = time.Time{}
	if !k.started {
		return nil
	}
	if hosts, ok := k.Hosts.TryTake(); ok && k.prefixes[k.HostsPrefix].replica.Listed() {
		k.source.SetUpstreams(mirror.Upstreams(hosts.Hosts(), k.Config.Host), now)
	}
	k.logSource(now)
	k.tickAt(k.source.StaleAt(now))
	k.releaseWatchers(now)
	k.releaseUpstream(now)
	k.releaseProbe(now)
	k.answerPolls(now)
	return nil
}

// tickAt makes advance run again at the given time, if that is not zero.
func (k *keeper) tickAt(at time.Time) {
	if !at.IsZero() && (k.nextTick.IsZero() || at.Before(k.nextTick)) {
		k.nextTick = at
	}
}

func (k *keeper) deliver(ctx context.Context) error {
	for len(k.undelivered) > 0 {
		next := k.undelivered[0]
		k.undelivered[0] = delivery{} // the array behind the slice keeps no update
		k.undelivered = k.undelivered[1:]
		if err := next.to.deliver(ctx, next.update); err != nil {
			return err
		}
	}
	return nil
}

func (k *keeper) queue(to *prefix, update platform.Update) {
	k.undelivered = append(k.undelivered, delivery{to, update})
}

func (k *keeper) logSource(now time.Time) {
	if reads := k.source.ReadsStore(now); reads != k.readsStore {
		k.readsStore = reads
		k.Log.Info("source of changes", zap.Bool("store", reads), zap.Bool("has_upstreams", k.source.HasUpstreams()),
			zap.Duration("age", now.Sub(k.source.ConfirmedAt())))
	}
}

// releaseWatchers lets the watchers call the store if this host reads it.
func (k *keeper) releaseWatchers(now time.Time) {
	if !k.source.ReadsStore(now) || !k.source.StoreWorks() {
		return
	}
	for _, p := range k.prefixes {
		switch {
		case p.waits == nil:
		case now.Before(p.nextCall):
			k.tickAt(p.nextCall)
		default:
			p.waits.Send(platform.Cursor{Listed: p.replica.Listed(), Revision: p.replica.Revision()})
			p.waits = nil
		}
	}
}

func (k *keeper) releaseUpstream(now time.Time) {
	if k.upstreamWaits == nil {
		return
	}
	host, retryAt, ok := k.source.NextUpstream(now)
	if !ok {
		k.tickAt(retryAt)
		return
	}
	request := ChangesRequest{Host: k.Config.Host, Urgent: now.Sub(k.source.ConfirmedAt()) > urgentAge, Known: make(map[string]Position, len(k.prefixes))}
	for name, p := range k.prefixes {
		request.Known[name] = Position{Listed: p.replica.Listed(), Revision: p.replica.Revision()}
	}
	k.upstreamWaits.Send(upstreamCall{host, request})
	k.upstreamWaits = nil
}

// releaseProbe lets the store be probed while it does not answer, and while other
// hosts depend on this host's state being fresh.
func (k *keeper) releaseProbe(now time.Time) {
	if k.probeWaits == nil || !k.source.ReadsStore(now) {
		return
	}
	due := k.nextProbeAt
	if k.source.StoreWorks() {
		if !k.isServing(now) {
			return
		}
		if afterAnswer := k.source.StoreAt().Add(probePeriod); afterAnswer.After(due) {
			due = afterAnswer
		}
	}
	if now.Before(due) {
		k.tickAt(due)
		return
	}
	k.probeWaits.Send(struct{}{})
	k.probeWaits = nil
}

func (m nextCursor) handle(k *keeper, _ time.Time) { k.prefixes[m.prefix].waits = &m }

func (m nextUpstream) handle(k *keeper, _ time.Time) { k.upstreamWaits = &m }

func (m nextProbe) handle(k *keeper, _ time.Time) { k.probeWaits = &m }

func (m discovered) handle(k *keeper, now time.Time) {
	if !k.started {
		k.started, k.readsStore = true, true
		k.source.SetUpstreams(mirror.Upstreams(m.hosts, k.Config.Host), now)
	}
}

// handle applies the result of a watcher's call. A failure matters only while this
// host reads the store.
func (m storeResult) handle(k *keeper, now time.Time) {
	p := k.prefixes[m.Prefix]
	if m.Err != nil {
		if k.source.ReadsStore(now) {
			k.source.StoreFailed()
			k.queue(p, m.Update)
		}
		return
	}
	k.source.StoreAnswered(now)
	k.failing = false
	if len(m.Objects) > 0 && (k.isServing(now) || k.source.HasUpstreams()) {
		p.nextCall = now.Add(changesPause)
	}
	k.apply(p, m.Update)
}

// apply applies an update to the copy and queues it for the duties of this host,
// without changes that the copy has already.
func (k *keeper) apply(p *prefix, update platform.Update) {
	changes := toChanges(update.Objects)
	applied := false
	if update.Full {
		applied = p.replica.Replace(changes, update.Revision)
	} else {
		applied = p.replica.Apply(changes, update.After, update.Revision)
	}
	if !applied {
		update = platform.Update{Prefix: update.Prefix}
	}
	k.queue(p, update)
}

func (m probeResult) handle(k *keeper, now time.Time) {
	k.nextProbeAt = now.Add(probePeriod)
	if m.err == nil {
		k.source.StoreAnswered(now)
		return
	}
	if k.source.HasUpstreams() {
		k.nextProbeAt = k.nextProbeAt.Add(time.Duration(rand.Int64N(int64(maxProbeJitter))))
	}
	k.source.StoreFailed()
	if !k.source.ReadsStore(now) || k.failing {
		return
	}
	k.failing = true
	k.Log.Warn("store lost", zap.Duration("age", now.Sub(k.source.ConfirmedAt())), zap.String("error", m.err.Error()))
	for _, p := range k.prefixes {
		k.queue(p, platform.Update{Prefix: p.name, Err: errStoreLost, FailingSince: k.source.ConfirmedAt()})
	}
}

// handle applies the answer of an upstream.
func (m upstreamResult) handle(k *keeper, now time.Time) {
	address := m.call.host.Address
	if m.err != nil {
		k.source.UpstreamFailed(address, now)
		k.Log.Warn("upstream failed", zap.String("peer", m.call.host.Name), zap.String("error", m.err.Error()))
		return
	}
	behind := false
	for name, p := range k.prefixes {
		if received, ok := m.response.Prefixes[name]; !ok || p.replica.IsAhead(received.Revision) {
			behind = true
		}
	}
	age := time.Duration(m.response.AgeMS) * time.Millisecond
	if m.response.AgeMS < 0 {
		age = mirror.MaxAge + 1
	}
	k.source.UpstreamAnswered(address, age, behind, now)
	regained := k.failing && !k.source.ReadsStore(now)
	k.failing = k.failing && !regained
	for name, p := range k.prefixes {
		received, ok := m.response.Prefixes[name]
		after := m.call.request.Known[name].Revision
		switch {
		case !ok:
		case len(received.Objects) > 0 || received.Full || regained:
			k.apply(p, platform.Update{Prefix: name, Full: received.Full, Objects: fromMessage(received.Objects), After: after,
				Revision: received.Revision})
		default:
			p.replica.Apply(nil, after, received.Revision)
		}
	}
}
