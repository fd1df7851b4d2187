// Package callers serves callers' requests. The goroutine that net/http starts
// for each connection is the duty of that caller. It takes a request through
// its steps, one file for each step (admit, run, place, grant, dispatch,
// buffered or stream, resume, refuse), and communicates with the other duties
// only through their rings. It makes the outgoing calls of its request itself.
package callers

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"kingcupcourse/internal/entry/admission"
	"kingcupcourse/internal/entry/fallback"
	"kingcupcourse/internal/entry/peer"
	"kingcupcourse/internal/entry/reports"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
)

// Config holds the dependencies of the handler.
type Config struct {
	Host       string
	Admission  *ring.Ring[admission.Message]
	Reports    reports.Inbox
	Fallback   *ring.Ring[fallback.Message]
	Schedulers *peer.Client
	// PublishFact shares a fact with the other processes.
	PublishFact func(message.Fact)
	Log         *zap.Logger
}

// Handler serves callers' requests.
type Handler struct {
	Config
	transports *transports
}

// NewHandler returns the handler.
func NewHandler(config Config) *Handler {
	return &Handler{Config: config, transports: newTransports()}
}

// Close closes the idle connections to endpoints.
func (h *Handler) Close() { h.transports.closeIdle() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	limitBodyTime(w)
	c := newCall(h, w, r)
	defer c.close()
	if refusal := c.admit(r.Context()); refusal != nil {
		c.refuse(refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.ticket.Deadline)
	defer cancel()
	c.run(ctx)
}
