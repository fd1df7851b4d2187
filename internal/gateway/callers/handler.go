// Package callers serves the requests of callers. The goroutine that net/http
// runs for each connection is the duty of that caller: it takes a request
// through its steps (admit, run, dispatch, relay the response or refuse), one
// file per step, and communicates with the other duties only through their
// rings.
package callers

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/gateway/admission"
	"kingcupcourse/internal/gateway/connections"
	"kingcupcourse/internal/gateway/deaths"
	"kingcupcourse/internal/gateway/fleet"
	"kingcupcourse/internal/gateway/frontend"
	"kingcupcourse/internal/gateway/placement"
	"kingcupcourse/internal/ring"
)

// Config holds the handler's dependencies.
type Config struct {
	Protocol  frontend.Protocol
	Admission *ring.Ring[admission.Message]
	// HasSuspects reports whether requests must be checked for what crashes endpoints.
	HasSuspects func() bool
	// Host is the name of this host.
	Host string
	// Place chooses an endpoint for an attempt.
	Place func(context.Context, placement.Request) placement.Placed
	// Connections are those to the endpoints.
	Connections *connections.Pool
	// Reports receives the updates on attempts.
	Reports *ring.Ring[placement.Update]
	// Losses receives the answers that were lost at endpoints which may have ended.
	Losses *ring.Ring[deaths.Loss]
	// EndpointSaid takes what an endpoint says about itself in a response.
	EndpointSaid func(context.Context, placement.EndpointSaid)
	// AcquireQuota asks the coordinator for quota for a request.
	AcquireQuota func(context.Context, fleet.AcquireRequest) (fleet.AcquireResponse, error)
	Stop         Stop
	Log          *zap.Logger
}

// Stop describes the planned stop of the host.
type Stop struct {
	// DrainingSince returns when the host began to drain, zero before.
	DrainingSince func() time.Time
	// DrainDelay is the time from then on in which the balancer learns to send
	// requests elsewhere. After CutAfter the requests in progress are cut.
	DrainDelay, CutAfter time.Duration
}

// cuts reports whether a request that arrived late in the stop may be cut before it has
// its answer.
func (s Stop) cuts(received, deadline time.Time) bool {
	since := s.DrainingSince()
	return !since.IsZero() && received.After(since.Add(s.DrainDelay)) && deadline.After(since.Add(s.CutAfter))
}

// Handler serves callers.
type Handler struct {
	Config
}

// NewHandler returns the handler.
func NewHandler(config Config) *Handler {
	return &Handler{Config: config}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{h: h, w: w, r: r, received: time.Now()}
	if !h.Stop.DrainingSince().IsZero() {
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
