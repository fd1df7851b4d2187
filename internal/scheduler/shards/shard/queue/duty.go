// Package queue implements the duty that owns the state of one pool shard: the
// waiting requests, the running attempts, and the learned estimates. It decides
// admission, order and placement.
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
	// busyTickInterval is the tick interval while requests or messages to the
	// journal wait; it limits how late a request that can no longer finish is
	// dropped.
	busyTickInterval = 20 * time.Millisecond
	// idleTickInterval is the tick interval otherwise; it limits how late an
	// entry that no longer sends reports is detected.
	idleTickInterval = 250 * time.Millisecond
	// entryReportTimeout limits how long a new owner waits for the reports of
	// the entries before its first placement.
	entryReportTimeout = 700 * time.Millisecond
)

// Config configures a queue duty.
type Config struct {
	Shard ownership.Shard
	// Host is the name of the local host.
	Host string
	// Policy is the placement policy.
	Policy *placement.Policy
	// Inbox is the ring of this duty, Journal that of the journal's owner.
	Inbox   *ring.Ring[inbox.QueueMessage]
	Journal *ring.Ring[inbox.JournalMessage]
	// PublishFact sends a fact to all hosts.
	PublishFact func(message.Fact) error
	Log         *zap.Logger
}

// Duty owns the state of one pool shard.
type Duty struct {
	Config
	log *zap.Logger

	view   *control.View
	pool   manifest.Pool
	routes map[string]manifest.Route
	// accountWeights maps client accounts to their weights.
	accountWeights map[string]float64
	endpoints      map[string]*endpoint
	// hostZones maps hosts to their availability zones.
	hostZones map[string]core.AvailabilityZone
	// trafficCaps limits the traffic of the versions that are part of a move.
	trafficCaps map[core.Version]share.Cap

	owned bool
	// ownerAddress is the control address of the owner, empty if this scheduler
	// owns the shard or no owner is known.
	ownerAddress      string
	draining          bool
	awaitReportsUntil time.Time

	waiting *waitlist.Queue
	waiters map[string]*waiter
	// pendingRefusals holds run-once requests that are refused as soon as the
	// journal has replied what it knows of their key.
	pendingRefusals map[string]*waiter
	attempts        *outstanding.Tracker
	speeds          *estimate.Speeds
	outputLengths   *estimate.Lengths
	recentTraffic   *share.DispatchWindow
	// poisonMarks counts the deaths of endpoints while they ran a request.
	poisonMarks    *poison.Tracker
	trials         *trial.Set
	journalBacklog []inbox.JournalMessage
	// verdictBacklog holds verdicts that could not be sent to the other hosts
	// yet.
	verdictBacklog []message.BadVersion

	candidates []placement.Candidate
	nextTick   time.Time
}

// waiter is a request that waits for its reply.
type waiter struct {
	reply   ring.Reply[message.GrantReply]
	request message.GrantRequest
	arrived time.Time
	// reservationSent is when the reservation was requested from the journal,
	// zero for a request without a key.
	reservationSent time.Time
	// reserved is set once the reservation is durable.
	reserved bool
}

// canPlace reports whether the request may be placed.
func (w *waiter) canPlace() bool { return w.reservationSent.IsZero() || w.reserved }

// New returns a duty that owns no shard until it gets a view.
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
		d.sendEvidence(m, now)
	case inbox.Drain:
		d.drain(m, now)
	}
	d.place(now)
	return nil
}

// tick does the work that no message triggers: it drops requests that can no
// longer finish, releases the attempts of entries that no longer send reports,
// and retries messages that could not be sent to the journal or to other hosts.
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

// scheduleTick makes the next tick occur within busyTickInterval, after a request
// was queued.
func (d *Duty) scheduleTick(now time.Time) {
	if at := now.Add(busyTickInterval); at.Before(d.nextTick) {
		d.nextTick = at
	}
}
