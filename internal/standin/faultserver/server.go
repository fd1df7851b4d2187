// Package faultserver is the HTTP server of a stand-in, with fault injection
// into its listener, its connections and its responses.
package faultserver

import (
	"context"
	"net/http"

	"kingcupcourse/internal/ring"
)

// decisionKey is the context key for the decision on a request.
type decisionKey struct{}

func decisionOf(r *http.Request) Decision {
	decision, _ := r.Context().Value(decisionKey{}).(Decision)
	return decision
}

// IsWrong reports whether the request is to get a wrong response.
func IsWrong(r *http.Request) bool { return decisionOf(r).Wrong }

// Generation returns the number of crashes before the request arrived.
func Generation(r *http.Request) int { return decisionOf(r).Generation }

// Address returns the bound address, including the port.
func (s *Server) Address() string { return s.address }

// SetFault applies a JSON patch to the fault settings. It returns
// ErrInvalidFault if the patch is not valid.
func (s *Server) SetFault(ctx context.Context, patch []byte) error {
	m := patchSettings{Reply: ring.NewReply[error](), patch: patch}
	if err := s.inbox.Put(ctx, m); err != nil {
		return err
	}
	applied, err := m.Wait(ctx)
	if err != nil {
		return err
	}
	return applied
}

// Crash closes all connections, discards the state of the backend, and opens
// the listener again after the restart delay. It does not wait. If it returns
// ring.ErrFull, the caller must try again.
func (s *Server) Crash() error { return s.inbox.TryPut(crashServer{}) }

// CutStream reports whether a new stream is to be cut off halfway.
func (s *Server) CutStream(ctx context.Context) (bool, error) {
	m := decideCut{Reply: ring.NewReply[bool]()}
	if err := s.inbox.Put(ctx, m); err != nil {
		return false, err
	}
	return m.Wait(ctx)
}

// withFaults applies the faults to each request before it reaches handler.
func (s *Server) withFaults(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		decision, err := s.decide(r.Context(), r.URL.Path)
		switch {
		case err != nil:
			panic(http.ErrAbortHandler)
		case decision.Fail:
			WriteError(w, http.StatusInternalServerError, "planted failure")
		default:
			ctx := context.WithValue(r.Context(), decisionKey{}, decision)
			handler.ServeHTTP(w, r.WithContext(ctx))
		}
	})
}

func (s *Server) decide(ctx context.Context, path string) (Decision, error) {
	m := decideRequest{Reply: ring.NewReply[Decision](), path: path}
	if err := s.inbox.Put(ctx, m); err != nil {
		return Decision{}, err
	}
	return m.Wait(ctx)
}
