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

// acceptName is the child that accepts connections.
const acceptName = "accept"

// reopenableListener is the listener of a stand-in, which can be closed and opened again.
// It is owned by the fault duty; only the connections read silentBelow.
type reopenableListener struct {
	tree         *supervisor.Supervisor
	address      string
	handler      http.Handler
	drainTimeout time.Duration
	accept       *supervisor.HTTP
	log          *zap.Logger

	accepted atomic.Int64
	// silentBelow is the number of the first connection that is not silent.
	silentBelow atomic.Int64
}

// listen binds the address and makes the accepting duty.
func (d *reopenableListener) listen() error {
	accept, err := supervisor.Listen(d.address, d.handler, d.drainTimeout)
	if err != nil {
		return err
	}
	accept.WrapConnections(d.wrap)
	d.address = accept.Address()
	d.accept = accept
	return nil
}

// open binds the address again. An open door stays as it is.
func (d *reopenableListener) open() error {
	if d.accept != nil {
		return nil
	}
	if err := d.listen(); err != nil {
		return err
	}
	d.tree.Add(supervisor.Child{Name: acceptName, Duty: d.accept})
	return nil
}

// close cuts all connections and gives the port back.
func (d *reopenableListener) close() {
	if d.accept == nil {
		return
	}
	d.accept.CloseOnStop()
	d.accept = nil
	if err := d.tree.Remove(acceptName); err != nil {
		d.log.Warn("closing the door", zap.Error(err))
	}
}

// silenceOpen makes the connections open now silent for good.
func (d *reopenableListener) silenceOpen() { d.silentBelow.Store(d.accepted.Load() + 1) }

func (d *reopenableListener) wrap(connection net.Conn) net.Conn {
	return &silenceableConn{Conn: connection, number: d.accepted.Add(1), silentBelow: &d.silentBelow}
}

// silenceableConn is a connection that can go silent: it then swallows what is
// written, and what the other side sends is never seen.
type silenceableConn struct {
	net.Conn
	number      int64
	silentBelow *atomic.Int64
}

func (c *silenceableConn) silent() bool { return c.number < c.silentBelow.Load() }

// Read implements net.Conn. Once silent it returns only when the connection
// has ended: not for data, and not for a time limit of the server, which
// would close the connection.
func (c *silenceableConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.silent() {
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
	if c.silent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}
