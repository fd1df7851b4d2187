package gateway

import (
	"fmt"
	"net/http"

	"kingcupcourse/internal/gateway/admission"
	"kingcupcourse/internal/ring"
)

// readiness answers the balancer's question whether the host takes callers.
type readiness struct {
	admission *ring.Ring[admission.Message]
	draining  func() bool
}

// ServeHTTP implements http.Handler: 200, or 503 with the reason.
func (h *readiness) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.draining() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	ask := admission.Ready{Reply: ring.NewReply[bool]()}
	if h.admission.Put(r.Context(), ask) != nil {
		return
	}
	if ready, err := ask.Wait(r.Context()); err != nil || !ready {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}
