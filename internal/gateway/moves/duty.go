package moves

import (
	"context"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/decision/catalog"
	gatewaycatalog "kingcupcourse/internal/gateway/catalog"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/supervisor"
)

const (
	// inboxCapacity bounds the outcomes queued while the duty writes to the
	// store. It holds a few seconds of a large fleet's requests. Outcomes that
	// find the ring full are lost only as evidence.
	inboxCapacity = 8192
	// tickPeriod is the interval at which unfinished moves are advanced.
	tickPeriod = 200 * time.Millisecond
	// maxUnsentOutcomes bounds the outcomes that are kept for the coordinator.
	maxUnsentOutcomes = 4096
)

// Exposure bounds the requests that an unproved version may get.
type Exposure struct {
	// MaxShare is the operator's limit for a bad version, as a share of the
	// service's requests. FreeRequests is the number of requests it may get
	// beyond that.
	MaxShare     float64
	FreeRequests int
}

// Config holds the dependencies and settings of the duties.
type Config struct {
	Host      string
	Store     *platform.Client
	Decoder   gatewaycatalog.Decoder
	Snapshots gatewaycatalog.Subscription
	Exposure  Exposure
	Log       *zap.Logger
}

// Duty implements supervisor.Duty. It holds the leases of the moves while its
// host is the coordinator of the fleet.
type Duty struct {
	Config
	inbox       *ring.Ring[Message]
	subscribers []Subscription

	isCoordinator bool
	moves         map[string]*move // by service
	nextTick      time.Time
	// unsent holds outcomes for the coordinator, heldElsewhere the constraints of
	// the moves that it holds, by service.
	unsent        []Outcome
	heldElsewhere map[string]Constraints
}

// Moves is the supervisor of the duties.
type Moves struct {
	*supervisor.Supervisor
	duty *Duty
}

// New returns the supervisor, not yet running.
//
// Children, in start order: the duty that holds the moves, and the duty that
// forwards the catalog's snapshots to it.
func New(c Config) *Moves {
	d := newDuty(c)
	return &Moves{duty: d, Supervisor: supervisor.New(supervisor.Spec{Name: "moves", Children: []supervisor.Child{
		{Name: "mover", Duty: d},
		{Name: "orders", Duty: snapshotForwarder{snapshots: c.Snapshots, to: d.inbox}},
	}}, c.Log)}
}

func newDuty(c Config) *Duty {
	return &Duty{Config: c, inbox: ring.New[Message]("gateway_moves", inboxCapacity), moves: map[string]*move{}}
}

// Inbox returns the ring for outcomes and coordinator changes.
func (m *Moves) Inbox() *ring.Ring[Message] { return m.duty.inbox }

// Subscribe returns a ring that holds only the latest constraints. It must be
// called before the supervisor runs.
func (m *Moves) Subscribe() Subscription {
	subscription := ring.NewLatest[map[string]Constraints]()
	m.duty.subscribers = append(m.duty.subscribers, subscription)
	return subscription
}

// snapshotForwarder is the duty that forwards the catalog's snapshots.
type snapshotForwarder struct {
	snapshots gatewaycatalog.Subscription
	to        *ring.Ring[Message]
}

// Serve implements supervisor.Duty.
func (f snapshotForwarder) Serve(ctx context.Context) error {
	for {
		snapshot, err := f.snapshots.Take(ctx)
		if err != nil {
			return err
		}
		if err := f.to.Put(ctx, catalogUpdate{snapshot: snapshot}); err != nil {
			return err
		}
	}
}

// Serve implements supervisor.Duty.
func (d *Duty) Serve(ctx context.Context) error {
	return ring.LoopUntil(ctx, d.inbox, func(m Message) error {
		m.handle(d, time.Now())
		return nil
	}, func() time.Time { return d.nextTick }, func() error { return d.tick(ctx, time.Now()) })
}

// handle applies the snapshot's orders and endpoints.
func (m catalogUpdate) handle(d *Duty, now time.Time) {
	for service := range d.moves {
		if _, ok := m.snapshot.Orders[service]; !ok {
			delete(d.moves, service)
		}
	}
	for service, order := range m.snapshot.Orders {
		known := d.moves[service]
		if known == nil || known.order.ID != order.ID || known.order.Target != order.Target {
			known = newMove(order, d.Exposure)
			d.moves[service] = known
		}
		known.updateOrder(order, m.snapshot.Endpoints)
	}
	d.publish()
	if d.nextTick.IsZero() && len(d.moves) > 0 {
		d.nextTick = now
	}
}

// tick advances each unfinished move.
func (d *Duty) tick(ctx context.Context, now time.Time) error {
	d.nextTick = time.Time{}
	for _, m := range d.moves {
		if m.order.State.Finished() && !m.statusLost {
			continue
		}
		d.nextTick = now.Add(tickPeriod)
		switch {
		case !d.isCoordinator:
			m.held = false
		case m.statusLost:
			d.writeStatus(ctx, m, m.order.State, now)
		case !m.held:
			d.tryAcquire(ctx, m, now)
		default:
			d.advance(ctx, m, now)
		}
	}
	d.publish()
	return ctx.Err()
}

// publish publishes the constraints of the moves.
func (d *Duty) publish() {
	constraints := make(map[string]Constraints, len(d.moves))
	for service, m := range d.moves {
		constraints[service] = m.constraints(d.heldElsewhere[service])
	}
	for _, subscriber := range d.subscribers {
		subscriber.Publish(constraints)
	}
}

// constraints returns the placement constraints of a move. A host that does not
// hold the move gives the target the traffic that its holder allows, and none if
// that is unknown, until the move has succeeded.
func (m *move) constraints(heldElsewhere Constraints) Constraints {
	c := Constraints{Target: m.order.Target, FreeRequests: m.exposure.FreeRequests}
	switch {
	case m.order.State == catalog.OrderSucceeded:
		c.MaxShare, c.Done = 1, true
	case m.order.State == catalog.OrderRolledBack || m.badVersion != nil:
	case !m.held && heldElsewhere.Target == m.order.Target:
		c.MaxShare, c.Done = heldElsewhere.MaxShare, heldElsewhere.Done
	case !m.held:
	case m.status.Stage == message.StageDone:
		c.MaxShare, c.Done = 1, true
	default:
		c.MaxShare = m.status.Share
	}
	return c
}
