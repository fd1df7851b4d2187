package connections

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
)

// conn is a connection to an endpoint. It counts the bytes written to it, and
// records what happens to it while it is idle.
type conn struct {
	net.Conn
	written      atomic.Int64
	idle, closed atomic.Bool
	// unasked reports that bytes arrived while the connection was idle.
	unasked atomic.Bool
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	// Count before the write, as a failed write may have sent a part.
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.idle.Load() {
		c.unasked.Store(true)
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// silent reports that neither a byte nor an end has arrived that is still unread.
// The transport's reader sees these as well, but only once it is scheduled.
func (c *conn) silent() bool {
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	var buffer [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, peekErr = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && errors.Is(peekErr, syscall.EAGAIN)
}
