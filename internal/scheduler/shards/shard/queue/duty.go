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
	// busyTickInterval is how often the queue looks for requests that can no
	// longer finish while any wait.
	busyTickInterval = 20 * time.Millisecond
	// idleTickInterval is how often it looks for silent entries otherwise.
	idleTickInterval = 250 * time.Millisecond
	// entryReportTimeout is how long a new owner waits for the reports of entries
	// before its first placement.
	entryReportTimeout = 700 * time.Millisecond
)

// Config sets a queue duty up.
type Config struct {
	Shard ownership.Shard
	// Host is the own host.
	Host string
	// Policy places requests.
	Policy *placement.Policy
	// Inbox is the duty's own ring, Journal that of the journal's owner.
	Inbox   *ring.Ring[inbox.QueueMessage]
	Journal *ring.Ring[inbox.JournalMessage]
	// PublishFact tells a fact to all hosts.
	PublishFact func(message.Fact) error
	Log         *zap.Logger
}

// Duty is the owner of one pool shard's state.
type Duty struct {
	Config
	log *zap.Logger

	view   *control.View
	pool   manifest.Pool
	routes map[string]manifest.Route
	// accountWeights holds the weight of each client account.
	accountWeights map[string]float64
	endpoints      map[string]*endpoint
	// hostZones holds the availability zone of each entry host.
	hostZones map[string]core.AvailabilityZone
	// trafficCaps bounds the traffic of the versions that a move is about.
	trafficCaps map[core.Version]share.Cap

	owned bool
	// ownerAddress is the control address of the owner while this scheduler is not.
	ownerAddress string
	draining     bool
	gatherUntil  time.Time

	waiting *waitlist.Queue
	waiters map[string]*waiter
	// pendingRefusals are run-once requests that are refused as soon as the journal
	// has told what is known of their key.
	pendingRefusals map[string]*waiter
	attempts        *outstanding.Tracker
	speeds          *estimate.Speeds
	outputLengths   *estimate.Lengths
	recentTraffic   *share.DispatchWindow
	// poisonMarks are the deaths of endpoints under requests.
	poisonMarks    *poison.Tracker
	trials         *trial.Set
	journalBacklog []inbox.JournalMessage
	// verdictBacklog are verdicts that could not be told to the other hosts yet.
	verdictBacklog []message.BadVersion

	candidates []placement.Candidate
	nextTick   time.Time
}

// waiter is a request that waits for its grant.
type waiter struct {
	reply   ring.Reply[message.GrantReply]
	request message.GrantRequest
	arrived time.Time
	// reservationSent is when the journal was reservationSent for a reservation, zero for a
	// request without a key.
	reservationSent time.Time
	// reserved tells that the reservation is durable.
	reserved bool
}

// canPlace tells whether the request may be placed.
func (w *waiter) canPlace() bool { return w.reservationSent.IsZero() || w.reserved }

// New returns a duty that owns nothing until it gets a view.
func New(config Config) *Duty {
	return &Duty{
		Config:          config,
		log:             config.Log.With(zap.String("pool", config.Shard.Pool)),
		routes:          map[string]manifest.Route{},
		accountWeights:  map[string]float64{},
		endpoints:       map[string]*endpoint{},
		hostZones:       map[string]core.AvailabilityZone{},
		trafficCaps:     map[core.Version]share.Cap{},
		waiting:         waitlist.New(waitlist.Limits{}),
		waiters:         map[string]*waiter{},
		pendingRefusals: map[string]*waiter{},
		attempts:        outstanding.NewTracker(),
		speeds:          estimate.NewSpeeds(),
		outputLengths:   estimate.NewLengths(),
		recentTraffic:   share.NewDispatchWindow(),
		poisonMarks:     poison.NewTracker(),
		trials:          trial.NewSet(config.Shard.Pool),
	}
}

// Serve implements supervisor.Duty.
func (d *Duty) Serve(ctx context.Context) error {
	d.nextTick = time.Now()
	return ring.LoopUntil(ctx, d.Inbox, d.handle, func() time.Time { return d.nextTick }, d.tick)
}

func (d *Duty) handle(m inbox.QueueMessage) error {
	now := time.Now()
	switch m := m.(type) {
	case inbox.RequestGrant:
		d.enqueue(m, now)
	case inbox.CancelRequest:
		d.cancelRequest(m)
	case inbox.ReportOutcomes:
		d.handleReport(m, now)
	case inbox.ViewChanged:
		d.applyView(m.View, now)
	case inbox.LoadReport:
		d.applyLoadReport(m, now)
	case inbox.CacheEvents:
		d.applyCacheEvents(m)
	case inbox.JournalReply:
		d.handleJournalReply(m.Reply, now)
	case inbox.QueryEvidence:
		d.answerEvidence(m, now)
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
	d.expireWaiting(now)
	d.expirePendingRefusals(now)
	d.releaseSilent(now)
	d.sendJournalBacklog()
	d.sendVerdictBacklog()
	d.place(now)
	d.observeDepth()
	d.nextTick = now.Add(idleTickInterval)
	if d.waiting.Len() > 0 || len(d.journalBacklog) > 0 {
		d.nextTick = now.Add(busyTickInterval)
	}
	return nil
}

// scheduleTick makes the next tick come in time for what waits.
func (d *Duty) scheduleTick(now time.Time) {
	if at := now.Add(busyTickInterval); at.Before(d.nextTick) {
		d.nextTick = at
	}
}
