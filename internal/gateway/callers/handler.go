// Package callers serves the requests of callers. The goroutine that net/http
// gives each connection is that caller's own duty: it takes a request through
// its steps, one file a step (admit, run, dispatch, whole or stream, refuse),
// and meets the other duties only at their rings.
package callers

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/gateway/admission"
	"kingcupcourse/internal/gateway/fleet"
	"kingcupcourse/internal/gateway/frontend"
	"kingcupcourse/internal/gateway/placement"
	"kingcupcourse/internal/ring"
)

// Config is what the handler needs of the process.
type Config struct {
	Protocol  frontend.Protocol
	Admission *ring.Ring[admission.Message]
	// Host is the name of this host.
	Host string
	// Place finds an endpoint for an attempt.
	Place func(context.Context, placement.Request) placement.Placed
	// Reports takes what becomes of attempts.
	Reports *ring.Ring[placement.Report]
	// AcquireQuota asks the keeper of the ledger to let a request in.
	AcquireQuota func(context.Context, fleet.AcquireRequest) (fleet.AcquireResponse, error)
	// Draining tells that the process is to stop.
	Draining func() bool
	Log      *zap.Logger
}

// Handler serves callers.
type Handler struct {
	Config
	connections *connections
}

// NewHandler returns the handler.
func NewHandler(config Config) *Handler {
	return &Handler{Config: config, connections: newConnections()}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{h: h, w: w, r: r, received: time.Now()}
	if h.Draining() {
		w.Header().Set("Connection", "close")
	}
	if refusal := c.admit(r.Context()); refusal != nil {
		c.refuse(refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.ticket.Deadline)
	defer cancel()
	c.run(ctx)
}
