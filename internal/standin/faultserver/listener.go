package faultserver

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/supervisor"
)

// acceptName is the name of the child duty that accepts connections.
const acceptName = "accept"

// reopenableListener is the listener of a stand-in. Faults close it and open
// it again. The fault duty owns it; only silentBelow is read elsewhere, by the
// connections.
type reopenableListener struct {
	tree         *supervisor.Supervisor
	address      string
	handler      http.Handler
	drainTimeout time.Duration
	accept       *supervisor.HTTP
	log          *zap.Logger

	accepted atomic.Int64
	// silentBelow is the lowest connection number that is not silenced.
	silentBelow atomic.Int64
}

// listen binds the address and creates the accept duty.
func (l *reopenableListener) listen() error {
	accept, err := supervisor.Listen(l.address, l.handler, l.drainTimeout)
	if err != nil {
		return err
	}
	accept.WrapConnections(l.wrap)
	l.address = accept.Address()
	l.accept = accept
	return nil
}

// open binds the address again. It does nothing if the listener is open.
func (l *reopenableListener) open() error {
	if l.accept != nil {
		return nil
	}
	if err := l.listen(); err != nil {
		return err
	}
	l.tree.Add(supervisor.Child{Name: acceptName, Duty: l.accept})
	return nil
}

// close closes all connections and releases the port.
func (l *reopenableListener) close() {
	if l.accept == nil {
		return
	}
	l.accept.CloseOnStop()
	l.accept = nil
	if err := l.tree.Remove(acceptName); err != nil {
		l.log.Warn("removing the accept duty failed", zap.Error(err))
	}
}

// silenceOpen permanently silences the connections that are open now.
func (l *reopenableListener) silenceOpen() { l.silentBelow.Store(l.accepted.Load() + 1) }

func (l *reopenableListener) wrap(conn net.Conn) net.Conn {
	return &silenceableConn{Conn: conn, number: l.accepted.Add(1), silentBelow: &l.silentBelow}
}

// silenceableConn is a connection that can be silenced: it then discards what
// is written to it, and never delivers what the peer sends.
type silenceableConn struct {
	net.Conn
	number      int64
	silentBelow *atomic.Int64
}

func (c *silenceableConn) isSilent() bool { return c.number < c.silentBelow.Load() }

// Read implements net.Conn. On a silenced connection it returns only when the
// connection ends: not for data, and not when a read deadline of the HTTP
// server expires, since the server would then close the connection.
func (c *silenceableConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.isSilent() {
			return n, err
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = c.SetReadDeadline(time.Time{})
		}
		if err != nil {
			return 0, err
		}
	}
}

// Write implements net.Conn.
func (c *silenceableConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}
