package callers

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"os"
	"time"
)

// exchange watches one request to an endpoint: whether it got a connection,
// so that bytes may have left, and whether the connection makes progress.
type exchange struct {
	// progressTimeout is how long the connection may be silent; zero for no limit.
	progressTimeout time.Duration
	conn            net.Conn
	dispatchedAt    time.Time
}

// withTrace returns a context that makes net/http tell of the connection.
func (x *exchange) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			x.conn = info.Conn
			x.dispatchedAt = time.Now()
			x.extendReadDeadline()
		},
	})
}

// mayHaveSent tells whether a byte of the request may have left.
func (x *exchange) mayHaveSent() bool { return x.conn != nil }

// extendReadDeadline gives the connection the full time to the next byte.
func (x *exchange) extendReadDeadline() {
	var until time.Time
	if x.progressTimeout > 0 {
		until = time.Now().Add(x.progressTimeout)
	}
	_ = x.conn.SetReadDeadline(until)
}

// deadlineBody reads an answer's body under the silence limit. It does not
// touch the connection after the end, when another request may own it.
type deadlineBody struct {
	io.ReadCloser
	exchange *exchange
	ended    bool
}

// Read implements io.Reader.
func (b *deadlineBody) Read(p []byte) (int, error) {
	if !b.ended {
		b.exchange.extendReadDeadline()
	}
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err != nil
	return n, err
}

// isTimeout tells whether an error means that the connection made no progress
// in time, as opposed to having been cut.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// isDialError tells whether an error came from a failed connection attempt.
func isDialError(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}
