package budget

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	decision "kingcupcourse/internal/decision/budget"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/supervisor"
)

const (
	// connectionBytes is reserved for each connection: its goroutine and buffers, those
	// of the connection to an endpoint, and ordinaryBytes.
	connectionBytes = 40 << 10
	// ordinaryBytes is the part of connectionBytes for the head and the body of an
	// ordinary request.
	ordinaryBytes = 24 << 10
	// growStep is the least number of bytes that a connection asks for.
	growStep = 16 << 10
	// progressBytes is how much of a body must come for its connection to have made
	// progress.
	progressBytes = 16 << 10
	// writeStep is the largest part of an answer that is written at once.
	writeStep = 32 << 10
	// refusalTimeout bounds the write of a refusal to a connection that is closed next.
	refusalTimeout = 100 * time.Millisecond
)

// refusalText is the answer when there is no room for a connection or its head. The
// request has not been read, so it has not run.
const refusalText = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// shared is what the connections read of the duty's state.
type shared struct{ calm atomic.Bool }

var start = time.Now()

// sinceStart returns the time by the steady clock.
func sinceStart() time.Duration { return time.Since(start) }

// Conn is a connection of a caller that counts against the budget. Its goroutine in
// net/http is the duty of that caller; the budget's duty reads only the atomic fields.
type Conn struct {
	net.Conn
	duty *Duty
	id   uint64 // set by the budget's duty

	phase atomic.Int32
	// progressAt is when the connection last made progress, since start.
	progressAt atomic.Int64
	// writing is set while the connection waits for the caller to read.
	writing atomic.Bool
	// refused is set once a refusal has been written, released once the connection has
	// been given back.
	refused, released atomic.Bool

	// reserved is what the duty has granted beyond the connection itself, and used what
	// is in use of it.
	reserved, used atomic.Int64
	meter          decision.HeadMeter
	headCost       int64
	bodyBytes      int64 // since the last progress
}

// Accept returns the connection to serve instead of an accepted one, or nil if there is no
// room for it.
func (d *Duty) Accept(accepted net.Conn) net.Conn {
	c := &Conn{Conn: accepted, duty: d}
	c.reserved.Store(ordinaryBytes)
	c.progress()
	if d.shared.calm.Load() && d.inbox.TryPut(opened{conn: c}) == nil {
		return c
	}
	query := opened{conn: c, Reply: ring.NewReply[bool]()}
	if d.ask(query, query.Reply) {
		return c
	}
	c.refuse()
	_ = accepted.Close()
	return nil
}

// ask sends a question to the duty and returns its answer, false if there is none in time.
func (d *Duty) ask(question message, reply ring.Reply[bool]) bool {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	if d.inbox.Put(ctx, question) != nil {
		return false
	}
	granted, err := reply.Wait(ctx)
	return err == nil && granted
}

// tell sends a message to the duty.
func (d *Duty) tell(m message) {
	if d.inbox.TryPut(m) == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	_ = d.inbox.Put(ctx, m) // fails only after the duty has stopped for good
}

func (c *Conn) progress() { c.progressAt.Store(int64(sinceStart())) }

func (c *Conn) setPhase(phase decision.Phase) { c.phase.Store(int32(phase)) }

// closing is the phase of a connection from which nothing more is read.
const closing = -1

// evict closes the connection, unless it is not in the phase any more for which it was
// chosen. A request that comes in the same moment has then not been read.
func (c *Conn) evict(phase decision.Phase) bool {
	if phase != decision.Answering && !c.phase.CompareAndSwap(int32(phase), closing) {
		return false
	}
	_ = c.Conn.Close() // it goes in any case
	return true
}

// holder returns the connection as the decision sees it.
func (c *Conn) holder(bytes int64) decision.Holder {
	phase := decision.Phase(max(0, c.phase.Load()))
	if c.writing.Load() {
		phase = decision.Answering
	}
	return decision.Holder{ID: c.id, Phase: phase, Bytes: bytes, Since: time.Duration(c.progressAt.Load())}
}

// Read implements net.Conn. It reserves what the part of a head will cost before net/http
// parses it.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.phase.Load() == closing {
		return 0, io.EOF
	}
	// Once a request has arrived, net/http reads single bytes beside its handler, to see
	// whether the caller has gone. They must not lead to a refusal.
	if n == 0 || len(p) == 1 {
		return n, err
	}
	if c.phase.CompareAndSwap(int32(decision.Idle), int32(decision.Head)) {
		c.progress()
	}
	switch decision.Phase(c.phase.Load()) {
	case decision.Head:
		return c.readHead(p, n, err)
	case decision.Body:
		if c.bodyBytes += int64(n); c.bodyBytes >= progressBytes {
			c.bodyBytes = 0
			c.progress()
		}
	}
	return n, err
}

func (c *Conn) readHead(p []byte, n int, err error) (int, error) {
	c.meter.Add(p[:n])
	cost := c.meter.Cost()
	if c.reserve(cost-c.headCost, false) != nil {
		c.refuse()
		c.setPhase(closing)
		return 0, io.EOF // net/http then closes the connection
	}
	c.headCost = cost
	return n, err
}

// refuse writes a refusal to a connection that is closed next, and drops what net/http
// would answer.
func (c *Conn) refuse() {
	c.refused.Store(true)
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, refusalText) // the caller may be gone
}

// Write implements net.Conn. Each part that the caller takes is progress.
func (c *Conn) Write(p []byte) (written int, err error) {
	if c.refused.Load() {
		return 0, net.ErrClosed
	}
	c.progress()
	c.writing.Store(true)
	defer c.writing.Store(false)
	for len(p) > writeStep {
		n, err := c.Conn.Write(p[:writeStep])
		written += n
		if err != nil {
			return written, err
		}
		c.progress()
		p = p[writeStep:]
	}
	n, err := c.Conn.Write(p)
	c.progress()
	return written + n, err
}

// CloseWrite closes the sending side, as net/http does before it closes a connection on
// which the caller still sends.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	if !c.released.Swap(true) {
		c.duty.tell(closed{conn: c})
	}
	return err
}

// StateChanged implements supervisor.StateObserver. Between two requests nothing is read.
func (c *Conn) StateChanged(state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	c.meter, c.headCost, c.bodyBytes = decision.HeadMeter{}, 0, 0
	c.used.Store(0)
	if extra := c.reserved.Swap(ordinaryBytes) - ordinaryBytes; extra > 0 {
		c.duty.tell(shrink{conn: c, bytes: extra})
	}
	c.progress()
	c.setPhase(decision.Idle)
}

// reserve reserves bytes that are about to be held.
func (c *Conn) reserve(bytes int64, forAnswer bool) error {
	missing := c.used.Add(bytes) - c.reserved.Load()
	if missing <= 0 {
		return nil
	}
	missing = max(missing, growStep)
	query := grow{conn: c, bytes: missing, forAnswer: forAnswer, Reply: ring.NewReply[bool]()}
	if !c.duty.ask(query, query.Reply) {
		c.used.Add(-bytes)
		return ErrNoRoom
	}
	c.reserved.Add(missing)
	return nil
}

// connOf returns the connection of a request, nil if it has no budget.
func connOf(ctx context.Context) *Conn {
	c, _ := supervisor.ConnectionOf(ctx).(*Conn)
	return c
}
