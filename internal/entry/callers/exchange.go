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
	// silence is how long the connection may be silent; zero for no limit.
	silence    time.Duration
	connection net.Conn
	dispatched time.Time
}

// trace returns a context that makes net/http tell of the connection.
func (x *exchange) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			x.connection = info.Conn
			x.dispatched = time.Now()
			x.touch()
		},
	})
}

// bytesLeft tells whether a byte of the request may have left.
func (x *exchange) bytesLeft() bool { return x.connection != nil }

// touch gives the connection the full time to the next byte.
func (x *exchange) touch() {
	var until time.Time
	if x.silence > 0 {
		until = time.Now().Add(x.silence)
	}
	_ = x.connection.SetReadDeadline(until)
}

// watchedBody reads an answer's body under the silence limit. It does not
// touch the connection after the end, when another request may own it.
type watchedBody struct {
	io.ReadCloser
	exchange *exchange
	ended    bool
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	if !b.ended {
		b.exchange.touch()
	}
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err != nil
	return n, err
}

// silent tells whether an error means that the connection made no progress
// in time, as opposed to having been cut.
func silent(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// unreachable tells whether an error came from a failed connection attempt.
func unreachable(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}
