package connections

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/rotisserie/eris"

	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/ring"
)

// Request describes the request that a connection is to carry.
type Request struct {
	Endpoint catalog.Endpoint
	// Repeatable is set if the request may run again after any failure.
	Repeatable bool
}

// Lease is the use of one connection by one request.
type Lease struct {
	pool    *Pool
	request Request
	// name stands for the connection's address in the transport, which keeps its
	// connections by address. A name has one connection at a time, so that the pool
	// chooses the connection.
	name string
	// conn is the connection in use, nil until there is one, and writtenBefore the
	// number of bytes written to it before the request.
	conn          *conn
	writtenBefore int64
	reused        bool
	// ended reports that the response's body was read to its end.
	ended bool
}

// Take returns a lease of an idle connection that may carry the request, or else
// of a new one. It opens none yet.
func (p *Pool) Take(ctx context.Context, request Request) *Lease {
	lease := &Lease{pool: p, request: request}
	m := take{Reply: ring.NewReply[string](), lease: lease}
	if p.inbox.TryPut(m) == nil {
		lease.name, _ = m.Wait(ctx)
	}
	if lease.name == "" {
		lease.name = p.newName()
	}
	return lease
}

type addressKey struct{}

var errNoAddress = eris.New("the request has no endpoint's address")

// RoundTrip sends the request and returns the response. The caller closes the
// response's body, and then the lease.
func (l *Lease) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := context.WithValue(request.Context(), addressKey{}, request.URL.Host)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			l.conn, l.writtenBefore, l.reused = c, c.written.Load(), info.Reused
		}
	}})
	if request.Host == "" {
		request.Host = request.URL.Host
	}
	request = request.WithContext(ctx)
	target := *request.URL
	target.Host, request.URL = l.name, &target
	response, err := l.pool.transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	_ = l.pool.inbox.TryPut(answered{l}) // dropped if the ring is full; closing the lease ends the wait too
	l.ended = response.Body == http.NoBody
	response.Body = &endRecorder{ReadCloser: response.Body, ended: &l.ended}
	return response, nil
}

// MayHaveWritten reports whether a byte of the request may have been sent.
func (l *Lease) MayHaveWritten() bool {
	return l.conn != nil && l.conn.written.Load() > l.writtenBefore
}

// Reused reports whether the connection carried an earlier request.
func (l *Lease) Reused() bool { return l.reused }

// Result is what a request showed of its connection and endpoint.
type Result struct {
	// Answered is set if the response names the request, and the endpoint keeps the
	// connection. A refusal without the request's id could come a second time and be
	// taken for the next request's.
	Answered bool
	// KeepAlive is the idle timeout that the endpoint stated, zero for none.
	KeepAlive time.Duration
	// Fault is set if the endpoint failed or sent what does not belong to the
	// request. Its other idle connections aren't used any more.
	Fault bool
}

// Close ends the lease. The connection is kept only if nothing odd was seen on it.
// It must be called after the response's body is closed.
func (l *Lease) Close(ctx context.Context, result Result) {
	m := give{lease: l, result: result}
	if l.keeps(result) {
		l.conn.idle.Store(true)
	} else if l.conn != nil {
		_ = l.conn.Close() // its error says only that it is closed already
	}
	if l.pool.inbox.Put(context.WithoutCancel(ctx), m) != nil && l.conn != nil {
		_ = l.conn.Close()
	}
}

func (l *Lease) keeps(result Result) bool {
	return l.conn != nil && result.Answered && !result.Fault && l.ended && !l.conn.closed.Load()
}

// endRecorder records that a body was read to its end.
type endRecorder struct {
	io.ReadCloser
	ended *bool
}

// Read implements io.Reader.
func (r *endRecorder) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		*r.ended = true
	}
	return n, err
}
