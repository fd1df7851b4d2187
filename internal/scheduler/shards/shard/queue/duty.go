// Package queue is the duty that owns all state of one pool shard: what
// waits, what runs where, and what was learned. It decides admission, order
// and placement.
package queue

import (
	"context"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/control"
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/estimate"
	"kingcupcourse/internal/decision/outstanding"
	"kingcupcourse/internal/decision/ownership"
	"kingcupcourse/internal/decision/placement"
	"kingcupcourse/internal/decision/poison"
	waitlist "kingcupcourse/internal/decision/queue"
	"kingcupcourse/internal/decision/share"
	"kingcupcourse/internal/decision/trial"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/scheduler/inbox"
)

const (
	// tickWaiting is how often the queue looks for requests that can no
	// longer finish while any wait.
	tickWaiting = 20 * time.Millisecond
	// tickIdle is how often it looks for silent entries otherwise.
	tickIdle = 250 * time.Millisecond
	// gatherTime is how long a new owner waits for the reports of entries
	// before its first placement.
	gatherTime = 700 * time.Millisecond
)

// Config sets a queue duty up.
type Config struct {
	Shard ownership.Shard
	// Host is the own host.
	Host string
	// Policy places requests.
	Policy *placement.Policy
	// Inbox is the duty's own ring, Journal that of the journal's owner.
	Inbox   *ring.Ring[inbox.Queue]
	Journal *ring.Ring[inbox.Journal]
	// Report tells a fact to all hosts.
	Report func(message.Fact) error
	Log    *zap.Logger
}

// Duty is the owner of one pool shard's state.
type Duty struct {
	Config
	log *zap.Logger

	view   *control.View
	pool   manifest.Pool
	routes map[string]manifest.Route
	// accounts holds the weight of each client account.
	accounts map[string]float64
	fleet    map[string]*endpoint
	// zones holds the availability zone of each entry host.
	zones map[string]core.AvailabilityZone
	// caps bounds the traffic of the versions that a move is about.
	caps map[core.Version]share.Cap

	owned bool
	// next is the control address of the owner while this scheduler is not.
	next        string
	draining    bool
	gatherUntil time.Time

	waiting *waitlist.Queue
	waiters map[string]*waiter
	// refusing are run-once requests that are refused as soon as the journal
	// has told what is known of their key.
	refusing map[string]*waiter
	book     *outstanding.Tracker
	speeds   *estimate.Speeds
	lengths  *estimate.Lengths
	recent   *share.DispatchWindow
	// marks are the deaths of endpoints under requests.
	marks  *poison.Tracker
	trials *trial.Set
	unsent []inbox.Journal
	// untold are verdicts that could not be told to the other hosts yet.
	untold []message.BadVersion

	candidates []placement.Candidate
	tickAt     time.Time
}

// waiter is a request that waits for its grant.
type waiter struct {
	reply   ring.Reply[message.GrantReply]
	request message.GrantRequest
	arrived time.Time
	// asked is when the journal was asked for a reservation, zero for a
	// request without a key.
	asked time.Time
	// reserved tells that the reservation is durable.
	reserved bool
}

// ready tells whether the request may be placed.
func (w *waiter) ready() bool { return w.asked.IsZero() || w.reserved }

// New returns a duty that owns nothing until it gets a view.
func New(config Config) *Duty {
	return &Duty{
		Config:   config,
		log:      config.Log.With(zap.String("pool", config.Shard.Pool)),
		routes:   map[string]manifest.Route{},
		accounts: map[string]float64{},
		fleet:    map[string]*endpoint{},
		zones:    map[string]core.AvailabilityZone{},
		caps:     map[core.Version]share.Cap{},
		waiting:  waitlist.New(waitlist.Limits{}),
		waiters:  map[string]*waiter{},
		refusing: map[string]*waiter{},
		book:     outstanding.NewTracker(),
		speeds:   estimate.NewSpeeds(),
		lengths:  estimate.NewLengths(),
		recent:   share.NewDispatchWindow(),
		marks:    poison.NewTracker(),
		trials:   trial.NewSet(config.Shard.Pool),
	}
}

// Serve implements supervisor.Duty.
func (d *Duty) Serve(ctx context.Context) error {
	d.tickAt = time.Now()
	return ring.LoopUntil(ctx, d.Inbox, d.handle, func() time.Time { return d.tickAt }, d.tick)
}

func (d *Duty) handle(m inbox.Queue) error {
	now := time.Now()
	switch m := m.(type) {
	case inbox.Grant:
		d.arrive(m, now)
	case inbox.Withdraw:
		d.withdraw(m)
	case inbox.Report:
		d.report(m, now)
	case inbox.ViewChanged:
		d.changeView(m.View, now)
	case inbox.Reading:
		d.reading(m, now)
	case inbox.CacheEvents:
		d.cacheEvents(m)
	case inbox.JournalAnswer:
		d.journalAnswer(m.Answer, now)
	case inbox.Evidence:
		d.evidence(m, now)
	case inbox.Drain:
		d.drain(m, now)
	}
	d.place(now)
	return nil
}

// tick does what no message triggers: it drops what can no longer finish,
// forgets silent entries, and tells the journal and the other hosts what they
// could not take.
func (d *Duty) tick() error {
	now := time.Now()
	d.expire(now)
	d.expireRefusals(now)
	d.forgetSilent(now)
	d.sendUnsent()
	d.tellUntold()
	d.place(now)
	d.observeDepth()
	d.tickAt = now.Add(tickIdle)
	if d.waiting.Len() > 0 || len(d.unsent) > 0 {
		d.tickAt = now.Add(tickWaiting)
	}
	return nil
}

// soon makes the next tick come in time for what waits.
func (d *Duty) soon(now time.Time) {
	if at := now.Add(tickWaiting); at.Before(d.tickAt) {
		d.tickAt = at
	}
}
