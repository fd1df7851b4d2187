// Package httpclient keeps clients of HTTP from taking for an answer what a server in trouble
// has sent: a part of an answer that ends with a reset, or a malformed head. net/http
// accepts some of these.
package httpclient

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"kingcupcourse/internal/ring"
)

// ErrReset means that the server closed the connection before it had taken in the request.
var ErrReset = eris.Wrap(io.ErrUnexpectedEOF, "the connection ended while the request was being written")

// writeGrace is how long a read that finds the end of the connection waits for the result of
// a write in progress. A write that takes longer is blocked, as the server does not read.
const writeGrace = 100 * time.Millisecond

// Conn is a connection to a server whose end is an error if a write has failed. The kernel
// reports the error of a reset once; if a write gets it, a read finds a plain end, as after
// a whole answer without a length.
type Conn struct {
	net.Conn
	writing atomic.Int32 // writes in progress
	failed  atomic.Bool  // a write has failed
	// idle is sent to when no write is in progress any more, nil while no read waits.
	idle atomic.Pointer[ring.Reply[struct{}]]
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Add(1)
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed.Store(true)
	}
	if c.writing.Add(-1) == 0 {
		if idle := c.idle.Load(); idle != nil {
			idle.Send(struct{}{})
		}
	}
	return n, err
}

// Read implements net.Conn. It fails with ErrReset in place of io.EOF.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && !c.hasWritten() {
		err = ErrReset
	}
	return n, err
}

// hasWritten reports whether all writes have succeeded.
func (c *Conn) hasWritten() bool {
	idle := ring.NewReply[struct{}]()
	c.idle.Store(&idle)
	if c.writing.Load() > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), writeGrace)
		defer cancel()
		if _, err := idle.Wait(ctx); err != nil {
			return false
		}
	}
	return !c.failed.Load()
}

// SyscallConn implements syscall.Conn. It fails if the wrapped connection does not.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return source.SyscallConn()
}

// DialContext opens a Conn.
func DialContext(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: connection}, nil
	}
}
