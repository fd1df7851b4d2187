package supervisor

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// headerTimeout limits how long a caller may take to send its headers.
	headerTimeout = 5 * time.Second
	// idleTimeout limits how long an idle connection is kept open.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes limits the size of a request's header.
	maxHeaderBytes = 32 << 10
)

// HTTP is a duty that accepts connections on an address. net/http serves each
// connection on its own goroutine, which acts as the duty of that caller: it
// puts messages into rings and waits for the replies.
type HTTP struct {
	listener    net.Listener
	address     string
	handler     http.Handler
	grace       time.Duration
	wrap        func(net.Conn) net.Conn
	closeOnStop atomic.Bool
}

// Listen binds the address at once, so that a port in use is detected before
// the tree starts. On stop the duty accepts no new connections, lets requests
// in progress finish within the grace period and then closes the connections
// that remain.
func Listen(address string, handler http.Handler, grace time.Duration) (*HTTP, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &HTTP{listener: listener, address: listener.Addr().String(), handler: handler, grace: grace}, nil
}

// Address returns the bound address with its port.
func (h *HTTP) Address() string { return h.address }

// WrapConnections makes the duty serve wrap(connection) instead of each accepted
// connection, or nothing if that is nil: wrap has then closed the connection. It must be
// called before Serve.
func (h *HTTP) WrapConnections(wrap func(net.Conn) net.Conn) { h.wrap = wrap }

// CloseOnStop makes the next stop close all open connections without a grace
// period.
func (h *HTTP) CloseOnStop() { h.closeOnStop.Store(true) }

// Serve accepts connections until ctx ends, then drains. It returns nil if all
// requests finished in time.
func (h *HTTP) Serve(ctx context.Context) error {
	if err := h.bind(); err != nil {
		return err
	}
	server := &http.Server{
		Handler:           h.handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	open := newOpenConnections()
	server.ConnState = open.track
	server.ConnContext = func(ctx context.Context, connection net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, connection)
	}
	defer CloseOnDone(ctx, h.listener)()
	err := server.Serve(&wrappingListener{Listener: h.listener, wrap: h.wrap})
	h.listener = nil
	if ctx.Err() != nil {
		return h.drain(server, open)
	}
	return err
}

// bind opens the listener again after a restart.
func (h *HTTP) bind() (err error) {
	if h.listener == nil {
		h.listener, err = net.Listen("tcp", h.address)
	}
	return err
}

// drain closes the idle connections and waits until all others have got their answer.
// http.Server.Shutdown would close connections whose request it has just read, without
// an answer.
func (h *HTTP) drain(server *http.Server, open *openConnections) error {
	if h.closeOnStop.Load() {
		return server.Close()
	}
	server.SetKeepAlivesEnabled(false)
	ctx, cancel := context.WithTimeout(context.Background(), h.grace)
	defer cancel()
	if err := open.awaitNone(ctx); err != nil {
		_ = server.Close()
		return err
	}
	return nil
}

// openConnections counts the open connections of a server that has stopped to accept
// new ones.
type openConnections struct {
	mu      sync.Mutex
	count   int
	changed chan struct{} // holds a value after a connection was closed
}

func newOpenConnections() *openConnections {
	return &openConnections{changed: make(chan struct{}, 1)}
}

// track is a hook for http.Server.ConnState.
func (o *openConnections) track(connection net.Conn, state http.ConnState) {
	if observer, ok := connection.(StateObserver); ok {
		observer.StateChanged(state)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	switch state {
	case http.StateNew:
		o.count++
	case http.StateClosed, http.StateHijacked:
		o.count--
		select {
		case o.changed <- struct{}{}:
		default:
		}
	}
}

func (o *openConnections) none() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.count == 0
}

// awaitNone waits until no connection is open.
func (o *openConnections) awaitNone(ctx context.Context) error {
	for !o.none() {
		select {
		case <-o.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// wrappingListener applies wrap, if set, to each accepted connection.
type wrappingListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

// Accept implements net.Listener.
func (l *wrappingListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil || l.wrap == nil {
			return connection, err
		}
		if wrapped := l.wrap(connection); wrapped != nil {
			return wrapped, nil
		}
	}
}

// StateObserver is a connection that is told of the state in which net/http sees it. Idle
// is told before anything of the next request is read.
type StateObserver interface{ StateChanged(http.ConnState) }

// connectionKey is the key of the connection in the context of its requests.
type connectionKey struct{}

// ConnectionOf returns the connection of a request by the request's context, nil if it did
// not come by an HTTP duty.
func ConnectionOf(ctx context.Context) net.Conn {
	connection, _ := ctx.Value(connectionKey{}).(net.Conn)
	return connection
}
