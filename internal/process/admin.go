package process

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"kingcupcourse/internal/supervisor"
)

// adminHandler serves the admin endpoints: metrics, health, readiness and,
// with fault injection, the list of duties and the killing of one.
func (t *processTree) adminHandler(env *Environment) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(env.Metrics, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		t.serveReady(w, env)
	})
	if env.Settings.FaultInjection {
		mux.HandleFunc("GET /debug/children", t.serveChildren)
		mux.HandleFunc("POST /debug/kill", func(w http.ResponseWriter, r *http.Request) {
			t.serveKill(w, r, env.Log)
		})
	}
	return mux
}

// serveReady responds with 200 while the process accepts new requests, else
// with 503 and the reason.
func (t *processTree) serveReady(w http.ResponseWriter, env *Environment) {
	switch {
	case t.draining.Draining():
		http.Error(w, "draining", http.StatusServiceUnavailable)
	case !env.Control.Ready():
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		fmt.Fprintln(w, "ready")
	}
}

// serveChildren lists the paths of all duties, one per line.
func (t *processTree) serveChildren(w http.ResponseWriter, _ *http.Request) {
	for _, name := range t.root.Paths() {
		fmt.Fprintln(w, name)
	}
}

// serveKill makes the duty at the path in the query parameter child fail.
func (t *processTree) serveKill(w http.ResponseWriter, r *http.Request, log *zap.Logger) {
	child := r.URL.Query().Get("child")
	err := t.root.Kill(child)
	switch {
	case errors.Is(err, supervisor.ErrUnknownChild):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		log.Warn("duty killed by fault injection", zap.String("child", child))
		fmt.Fprintln(w, "killed")
	}
}
