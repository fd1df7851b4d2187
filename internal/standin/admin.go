package standin

import (
	"context"
	"errors"
	"io"
	"net/http"

	"kingcupcourse/internal/standin/engine"
	"kingcupcourse/internal/standin/faultproxy"
	"kingcupcourse/internal/standin/faultserver"
	"kingcupcourse/internal/standin/ledger"
	"kingcupcourse/internal/standin/platform"
	"kingcupcourse/internal/supervisor"
)

// maxPatchBytes bounds the body of a fault order.
const maxPatchBytes = 64 << 10

// standIn is one stand-in of any kind.
type standIn interface {
	Name() string
	Address() string
	Supervisor() *supervisor.Supervisor
	SetFault(ctx context.Context, order []byte) error
	Stats(ctx context.Context) (any, error)
}

var (
	_ standIn = (*platform.Platform)(nil)
	_ standIn = (*engine.Engine)(nil)
	_ standIn = (*ledger.Ledger)(nil)
	_ standIn = (*faultproxy.Proxy)(nil)
)

// adminHandler serves the fault controls of all stand-ins by name.
func adminHandler(all []standIn) http.Handler {
	byName := make(map[string]standIn, len(all))
	for _, s := range all {
		byName[s.Name()] = s
	}
	find := func(serve func(http.ResponseWriter, *http.Request, standIn)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			s, ok := byName[r.PathValue("name")]
			if !ok {
				faultserver.WriteError(w, http.StatusNotFound, "no stand-in of this name")
				return
			}
			serve(w, r, s)
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{name}/admin/fault", find(setFault))
	mux.HandleFunc("GET /{name}/admin/stats", find(readStats))
	return mux
}

func setFault(w http.ResponseWriter, r *http.Request, s standIn) {
	order, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPatchBytes))
	if err != nil {
		faultserver.WriteError(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	err = s.SetFault(r.Context(), order)
	switch {
	case errors.Is(err, faultserver.ErrInvalidFault), errors.Is(err, platform.ErrInvalidFault),
		errors.Is(err, faultproxy.ErrInvalidFault):
		faultserver.WriteError(w, http.StatusBadRequest, err.Error())
	case err != nil:
		faultserver.WriteError(w, http.StatusInternalServerError, err.Error())
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

func readStats(w http.ResponseWriter, r *http.Request, s standIn) {
	stats, err := s.Stats(r.Context())
	if err != nil {
		faultserver.WriteError(w, http.StatusInternalServerError, err.Error())
		return
	}
	faultserver.WriteJSON(w, http.StatusOK, stats)
}
