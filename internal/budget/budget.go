// Package budget implements the duty that owns the memory and the connections that all
// callers of a process hold together. Each connection reserves what it needs before it
// reads it: a fixed part when it is accepted, which an ordinary request does not exceed,
// and more for a large head, a body or a held answer.
package budget

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	decision "kingcupcourse/internal/decision/budget"
	"kingcupcourse/internal/ring"
)

const (
	// inboxCapacity also bounds how many connections are accepted before the duty has
	// counted them.
	inboxCapacity = 128
	// askTimeout bounds how long a connection waits for the duty.
	askTimeout = 2 * time.Second
	// tickInterval is how often the duty looks for answers that nobody reads, and
	// logInterval the least time between two lines of the log.
	tickInterval = 5 * time.Second
	logInterval  = time.Second
)

// ErrNoRoom is returned when there is no room for what a connection wants to hold.
var ErrNoRoom = errors.New("too many callers hold too much memory")

// message is a message to the duty.
type message interface{ isMessage() }

// opened asks for a new connection's first part. Without a reply it has been accepted.
type opened struct {
	ring.Reply[bool]
	conn *Conn
}

// grow asks for more bytes for a connection.
type grow struct {
	ring.Reply[bool]
	conn      *Conn
	bytes     int64
	forAnswer bool
}

// shrink gives bytes back, and closed all of a connection.
type shrink struct {
	conn  *Conn
	bytes int64
}

type closed struct{ conn *Conn }

func (opened) isMessage() {}
func (grow) isMessage()   {}
func (shrink) isMessage() {}
func (closed) isMessage() {}

// Duty owns the budget.
type Duty struct {
	name   string
	log    *zap.Logger
	inbox  *ring.Ring[message]
	shared shared

	connectionsGauge, bytesGauge prometheus.Gauge

	budget *decision.Budget
	// held is what each connection holds.
	held     map[*Conn]int64
	lastID   uint64
	nextTick time.Time
	// lastLog is the time of the last line of the log, and unlogged counts what has
	// happened since.
	lastLog  time.Time
	unlogged struct{ refused, closed int }
}

// New returns the duty for the connections of one listener, or several.
func New(name string, limits decision.Limits, log *zap.Logger) *Duty {
	d := &Duty{name: name, log: log, inbox: ring.New[message]("budget_"+name, inboxCapacity),
		connectionsGauge: connectionsHeld.WithLabelValues(name), bytesGauge: bytesHeld.WithLabelValues(name),
		budget: decision.New(limits), held: map[*Conn]int64{}}
	d.shared.calm.Store(true)
	return d
}

// Serve implements supervisor.Duty.
func (d *Duty) Serve(ctx context.Context) error {
	return ring.LoopUntil(ctx, d.inbox, func(m message) error { d.handle(m); return nil },
		func() time.Time { return d.nextTick }, func() error { d.tick(); return nil })
}

func (d *Duty) handle(m message) {
	switch m := m.(type) {
	case opened:
		d.open(m)
	case grow:
		d.grow(m)
	case shrink:
		if _, ok := d.held[m.conn]; ok {
			d.held[m.conn] -= m.bytes
			d.budget.Give(0, m.bytes)
		}
	case closed:
		d.remove(m.conn)
	}
	d.publish()
}

func (d *Duty) open(m opened) {
	wasAccepted := m.Reply == (ring.Reply[bool]{})
	if !wasAccepted && !d.makeRoom(1, connectionBytes, false) {
		d.refused("connection")
		m.Send(false)
		return
	}
	d.lastID++
	m.conn.id = d.lastID
	d.held[m.conn] = connectionBytes
	d.budget.Take(1, connectionBytes)
	if d.nextTick.IsZero() {
		d.nextTick = time.Now().Add(tickInterval)
	}
	m.Send(true)
}

func (d *Duty) grow(m grow) {
	_, known := d.held[m.conn]
	if !known || !d.makeRoom(0, m.bytes, m.forAnswer) {
		if known {
			d.refused(m.conn.holder(0).Phase.String())
		}
		m.Send(false)
		return
	}
	d.held[m.conn] += m.bytes
	d.budget.Take(0, m.bytes)
	m.Send(true)
}

// remove forgets a connection. It is not known any more if the duty has closed it.
func (d *Duty) remove(c *Conn) {
	if bytes, ok := d.held[c]; ok {
		d.budget.Give(1, bytes)
		delete(d.held, c)
	}
}

// makeRoom closes connections that make no progress, if needed, and reports whether there
// is room.
func (d *Duty) makeRoom(connections int, bytes int64, forAnswer bool) bool {
	if d.budget.HasRoom(connections, bytes, forAnswer) {
		return true
	}
	now := sinceStart()
	if !d.budget.MaySearch(now) {
		return false
	}
	holders, conns := d.holders()
	d.close(d.budget.ToClose(now, holders, connections, bytes), conns)
	return d.budget.HasRoom(connections, bytes, forAnswer)
}

func (d *Duty) holders() ([]decision.Holder, map[uint64]*Conn) {
	holders, conns := make([]decision.Holder, 0, len(d.held)), make(map[uint64]*Conn, len(d.held))
	for c, bytes := range d.held {
		holders = append(holders, c.holder(bytes))
		conns[c.id] = c
	}
	return holders, conns
}

// close closes connections. What they hold counts as free at once: their goroutines find
// the connection closed and end.
func (d *Duty) close(holders []decision.Holder, conns map[uint64]*Conn) {
	for _, h := range holders {
		if !conns[h.ID].evict(h.Phase) {
			continue
		}
		closedTotal.WithLabelValues(d.name, h.Phase.String()).Inc()
		d.remove(conns[h.ID])
		d.unlogged.closed++
	}
	d.logPressure()
}

func (d *Duty) refused(what string) {
	refusedTotal.WithLabelValues(d.name, what).Inc()
	d.unlogged.refused++
	d.logPressure()
}

// logPressure logs what had to be refused and closed, at most once in logInterval.
func (d *Duty) logPressure() {
	now := time.Now()
	if d.unlogged.refused+d.unlogged.closed == 0 || now.Sub(d.lastLog) < logInterval {
		return
	}
	limits := d.budget.Limits()
	d.log.Warn("no room for callers", zap.String("budget", d.name), zap.Int("refused", d.unlogged.refused),
		zap.Int("closed", d.unlogged.closed), zap.Int("connections", d.budget.Connections()),
		zap.Int("max_connections", limits.Connections), zap.Int64("bytes", d.budget.Bytes()), zap.Int64("max_bytes", limits.Bytes))
	d.lastLog, d.unlogged.refused, d.unlogged.closed = now, 0, 0
}

// tick closes the connections whose callers do not read, and forgets those whose end the
// duty was not told of, as it was away.
func (d *Duty) tick() {
	for c := range d.held {
		if c.released.Load() {
			d.remove(c)
		}
	}
	holders, conns := d.holders()
	d.close(decision.Unread(sinceStart(), holders), conns)
	d.nextTick = time.Time{}
	if len(d.held) > 0 {
		d.nextTick = time.Now().Add(tickInterval)
	}
	d.publish()
}

// publish tells the connections whether there is room for all, and the metrics what is held.
func (d *Duty) publish() {
	d.shared.calm.Store(d.budget.Calm())
	d.connectionsGauge.Set(float64(d.budget.Connections()))
	d.bytesGauge.Set(float64(d.budget.Bytes()))
}
