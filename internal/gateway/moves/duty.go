package moves

import (
	"context"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/decision/catalog"
	owncatalog "kingcupcourse/internal/gateway/catalog"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/supervisor"
)

const (
	// ringCapacity bounds the outcomes that wait while the duty writes: some
	// seconds of a large fleet's requests. Those that find it full are lost as
	// evidence and nothing else.
	ringCapacity = 8192
	// tickPeriod is how often an unfinished move is looked at.
	tickPeriod = 200 * time.Millisecond
)

// Exposure bounds how many requests an unproved version may get.
type Exposure struct {
	// MaxShare is the operator's bound for a bad version, as a share of the
	// service's requests, and Free how many it may have beyond that.
	MaxShare     float64
	FreeRequests int
}

// Config is what the duties need of the process.
type Config struct {
	Host      string
	Store     *platform.Client
	Decoder   owncatalog.Decoder
	Snapshots owncatalog.Subscription
	Exposure  Exposure
	Log       *zap.Logger
}

// Duty implements supervisor.Duty. It holds the moves while its host is the
// keeper of the fleet.
type Duty struct {
	Config
	inbox  *ring.Ring[Message]
	stages *ring.Latest[map[string]Stage]

	keeper bool
	moves  map[string]*move // by service
	next   time.Time
}

// Moves is the supervisor of the duties.
type Moves struct {
	*supervisor.Supervisor
	duty *Duty
}

// New returns the supervisor, which is not yet running.
//
// Children, in their order: the duty that holds the moves, and the one that
// hands it the catalog's news.
func New(c Config) *Moves {
	d := newDuty(c)
	return &Moves{duty: d, Supervisor: supervisor.New(supervisor.Spec{Name: "moves", Children: []supervisor.Child{
		{Name: "mover", Duty: d},
		{Name: "orders", Duty: forward{views: c.Snapshots, to: d.inbox}},
	}}, c.Log)}
}

func newDuty(c Config) *Duty {
	return &Duty{Config: c, inbox: ring.New[Message]("gateway_moves", ringCapacity),
		stages: ring.NewLatest[map[string]Stage](), moves: map[string]*move{}}
}

// Inbox is where outcomes and the news of the keeper are put.
func (m *Moves) Inbox() *ring.Ring[Message] { return m.duty.inbox }

// Stages always holds the newest stages, by service.
func (m *Moves) Stages() *ring.Latest[map[string]Stage] { return m.duty.stages }

// forward is the duty that hands the catalog's snapshots on.
type forward struct {
	views owncatalog.Subscription
	to    *ring.Ring[Message]
}

// Serve implements supervisor.Duty.
func (f forward) Serve(ctx context.Context) error {
	for {
		snapshot, err := f.views.Take(ctx)
		if err != nil {
			return err
		}
		if err := f.to.Put(ctx, orders{snapshot: snapshot}); err != nil {
			return err
		}
	}
}

// Serve implements supervisor.Duty.
func (d *Duty) Serve(ctx context.Context) error {
	return ring.LoopUntil(ctx, d.inbox, func(m Message) error {
		m.handle(d, time.Now())
		return nil
	}, func() time.Time { return d.next }, func() error { return d.tick(ctx, time.Now()) })
}

// handle takes over the orders and the endpoints.
func (m orders) handle(d *Duty, now time.Time) {
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
		known.follow(order, m.snapshot.Endpoints)
	}
	d.publish()
	if d.next.IsZero() && len(d.moves) > 0 {
		d.next = now
	}
}

// tick looks at each move that is not finished.
func (d *Duty) tick(ctx context.Context, now time.Time) error {
	d.next = time.Time{}
	for _, m := range d.moves {
		if m.order.State.Finished() {
			continue
		}
		d.next = now.Add(tickPeriod)
		switch {
		case !d.keeper:
			m.held = false
		case !m.held:
			d.take(ctx, m, now)
		default:
			d.step(ctx, m, now)
		}
	}
	d.publish()
	return ctx.Err()
}

// publish tells the placement of requests how far the moves are.
func (d *Duty) publish() {
	stages := make(map[string]Stage, len(d.moves))
	for service, m := range d.moves {
		stages[service] = m.stage()
	}
	d.stages.Publish(stages)
}

// stage is what a move means for the placement of requests. A host that does
// not hold the move gives the version no traffic before it has succeeded.
func (m *move) stage() Stage {
	s := Stage{Target: m.order.Target, FreeRequests: m.exposure.FreeRequests}
	switch {
	case m.order.State == catalog.OrderSucceeded:
		s.MaxShare, s.Done = 1, true
	case m.order.State == catalog.OrderRolledBack || !m.held || m.bad != nil:
	case m.status.Stage == message.StageDone:
		s.MaxShare, s.Done = 1, true
	default:
		s.MaxShare = m.status.Share
	}
	return s
}
