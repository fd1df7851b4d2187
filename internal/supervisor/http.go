package supervisor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	// headerTimeout bounds how long a caller may take to send its headers.
	headerTimeout = 5 * time.Second
	// idleTimeout bounds how long an unused connection is kept.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds the header of one request.
	maxHeaderBytes = 32 << 10
)

// HTTP is a duty that accepts connections on an address. Each connection is
// served by net/http on a goroutine of its own, which is the caller's duty:
// it puts messages into rings and waits for their replies.
type HTTP struct {
	listener net.Listener
	address  string
	handler  http.Handler
	grace    time.Duration
}

// Listen binds the address at once, so that a port in use is found before
// the tree starts. On stop the duty takes no new connection and gives those
// in progress the grace time to finish.
func Listen(address string, handler http.Handler, grace time.Duration) (*HTTP, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &HTTP{listener: listener, address: listener.Addr().String(), handler: handler, grace: grace}, nil
}

// Address returns the bound address with its port.
func (h *HTTP) Address() string { return h.address }

// Serve accepts connections until ctx ends, then drains. It returns nil
// after a complete drain.
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
	drained := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() { drained <- h.drain(server) })
	err := server.Serve(h.listener)
	h.listener = nil
	if errors.Is(err, http.ErrServerClosed) {
		return <-drained
	}
	stop()
	return err
}

// bind opens the address again after a restart.
func (h *HTTP) bind() (err error) {
	if h.listener == nil {
		h.listener, err = net.Listen("tcp", h.address)
	}
	return err
}

func (h *HTTP) drain(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), h.grace)
	defer cancel()
	return server.Shutdown(ctx)
}
