package gateway

import (
	"fmt"
	"net/http"
	"time"

	"kingcupcourse/internal/gateway/admission"
	"kingcupcourse/internal/ring"
)

// readiness serves the load balancer's readiness probe.
type readiness struct {
	admission *ring.Ring[admission.Message]
	// drainingSince returns when the host began to drain, zero before.
	drainingSince func() time.Time
}

// ServeHTTP implements http.Handler. It responds with status 200, or with 503
// and the reason.
func (h *readiness) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !h.drainingSince().IsZero() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	query := admission.Ready{Reply: ring.NewReply[bool]()}
	if h.admission.Put(r.Context(), query) != nil {
		return
	}
	if ready, err := query.Wait(r.Context()); err != nil || !ready {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}
