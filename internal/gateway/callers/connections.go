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
	// dialTimeout bounds a connection attempt to an endpoint. The network latency
	// is a few milliseconds; an endpoint that does not accept within the timeout
	// is considered unreachable while there is time to try another endpoint.
	dialTimeout = 250 * time.Millisecond
	// idleTimeout is how long an idle connection is kept. It is shorter than the
	// idle timeout of the endpoints.
	idleTimeout = 1500 * time.Millisecond
	// maxIdleConnsPerEndpoint is the number of idle connections kept to one
	// endpoint. An endpoint accepts a few hundred from all hosts together.
	maxIdleConnsPerEndpoint = 8
	// maxResponseHeaderBytes bounds the header of a response.
	maxResponseHeaderBytes = 64 << 10
)

// transports holds the HTTP transports to endpoints. Requests that may run
// repeatedly share pooled connections. Any other request gets a new connection:
// on a pooled connection that is dead, or that still carries a second response
// to an earlier request, its response would be lost.
type transports struct {
	pooled, unpooled *http.Transport
}

func newTransports() *transports {
	return &transports{pooled: newTransport(false), unpooled: newTransport(true)}
}

func newTransport(unpooled bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: connection}, nil
		},
		DisableKeepAlives:      unpooled,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerEndpoint,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// countingConn counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	// Count before the write, as a failed write may have sent a part.
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// writeTracker tracks whether any byte of a request to an endpoint may have been
// sent.
type writeTracker struct {
	connection    *countingConn
	writtenBefore int64
	// reused reports that the connection carried an earlier request.
	reused bool
}

// trace returns a context that makes net/http report the connection it uses.
func (t *writeTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if connection, ok := info.Conn.(*countingConn); ok {
				t.connection, t.writtenBefore, t.reused = connection, connection.written.Load(), info.Reused
			}
		},
	})
}

// mayHaveWritten reports whether a byte of the request may have been sent.
func (t *writeTracker) mayHaveWritten() bool {
	return t.connection != nil && t.connection.written.Load() > t.writtenBefore
}
