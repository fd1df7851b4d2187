package callers

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout bounds a connection attempt to an endpoint. A link takes a
	// few milliseconds; an endpoint that does not answer by then is taken for
	// unreachable while the request can still be served elsewhere.
	dialTimeout = 250 * time.Millisecond
	// idleTimeout is how long an unused connection is kept. It is below the
	// time after which endpoints close theirs.
	idleTimeout = 1500 * time.Millisecond
	// maxIdlePerEndpoint is how many unused connections to one endpoint are
	// kept. Endpoints take a few hundred from all hosts together.
	maxIdlePerEndpoint = 8
	// maxAnswerHeaderBytes bounds the header of an answer.
	maxAnswerHeaderBytes = 64 << 10
)

// connections holds the connections to endpoints. Requests that may be
// repeated share kept ones. Any other gets a new one: on a kept connection
// that has gone silent, or that holds a second answer to an earlier request,
// its answer would be lost.
type connections struct {
	kept, fresh *http.Transport
}

func newConnections() *connections {
	return &connections{kept: newTransport(false), fresh: newTransport(true)}
}

func newTransport(fresh bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: connection}, nil
		},
		DisableKeepAlives:      fresh,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerEndpoint,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}
}

// countingConn counts the bytes that were handed to the network.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	// Counted first: a write that fails may have sent a part.
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// exchange watches one request to an endpoint: whether any byte of it may
// have left.
type exchange struct {
	connection *countingConn
	before     int64
}

// trace returns a context that makes net/http tell of the connection.
func (x *exchange) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if connection, ok := info.Conn.(*countingConn); ok {
				x.connection, x.before = connection, connection.written.Load()
			}
		},
	})
}

// bytesLeft tells whether a byte of the request may have left.
func (x *exchange) bytesLeft() bool {
	return x.connection != nil && x.connection.written.Load() > x.before
}
