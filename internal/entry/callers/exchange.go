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

// exchange tracks one request to an endpoint: whether it got a connection, so
// that bytes may have been sent, and whether the connection makes progress.
type exchange struct {
	// progressTimeout bounds how long the connection may be silent; zero means
	// no limit.
	progressTimeout time.Duration
	conn            net.Conn
	dispatchedAt    time.Time
}

// withTrace returns a context that records the connection net/http uses.
func (x *exchange) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			x.conn = info.Conn
			x.dispatchedAt = time.Now()
			x.extendReadDeadline()
		},
	})
}

// mayHaveSent reports whether bytes of the request may have been sent.
func (x *exchange) mayHaveSent() bool { return x.conn != nil }

// extendReadDeadline restarts the progress timeout of the connection.
func (x *exchange) extendReadDeadline() {
	var deadline time.Time
	if x.progressTimeout > 0 {
		deadline = time.Now().Add(x.progressTimeout)
	}
	_ = x.conn.SetReadDeadline(deadline)
}

// deadlineBody extends the read deadline before each read of a response body.
// After the end of the body it leaves the connection alone, because another
// request may be using it.
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

// isTimeout reports whether the connection made no progress in time, as
// opposed to being closed.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// isDialError reports whether an error came from a failed connection attempt.
func isDialError(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}
