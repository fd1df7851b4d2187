// Package front is the side of a stand-in that its callers meet: the
// listener, the connections, and the faults that strike them.
package faultserver

import (
	"context"
	"net/http"

	"kingcupcourse/internal/ring"
)

// decisionKey is where the context of a request has its verdict.
type decisionKey struct{}

func decisionOf(r *http.Request) Decision {
	verdict, _ := r.Context().Value(decisionKey{}).(Decision)
	return verdict
}

// IsWrong tells whether the request is to be answered wrongly.
func IsWrong(r *http.Request) bool { return decisionOf(r).Wrong }

// Generation returns how many crashes were before the request came.
func Generation(r *http.Request) int { return decisionOf(r).Generation }

// Address returns the bound address with its port.
func (f *Server) Address() string { return f.address }

// SetFault changes the faults by a JSON order. It returns ErrBadFault for
// an order that is not valid.
func (f *Server) SetFault(ctx context.Context, order []byte) error {
	m := patchSettings{Reply: ring.NewReply[error](), patch: order}
	if err := f.inbox.Put(ctx, m); err != nil {
		return err
	}
	applied, err := m.Wait(ctx)
	if err != nil {
		return err
	}
	return applied
}

// Crash cuts all connections, loses the state, and opens again after the
// restart time. It does not wait, and returns ring.ErrFull if it must be
// asked again.
func (f *Server) Crash() error { return f.inbox.TryPut(crashServer{}) }

// CutStream tells whether the stream that begins is to be cut after half.
func (f *Server) CutStream(ctx context.Context) (bool, error) {
	m := decideCut{Reply: ring.NewReply[bool]()}
	if err := f.inbox.Put(ctx, m); err != nil {
		return false, err
	}
	return m.Wait(ctx)
}

// withFaults lets the faults rule on each request before the handler sees it.
func (f *Server) withFaults(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		verdict, err := f.decide(r.Context(), r.URL.Path)
		switch {
		case err != nil:
			panic(http.ErrAbortHandler)
		case verdict.Fail:
			WriteError(w, http.StatusInternalServerError, "planted failure")
		default:
			ctx := context.WithValue(r.Context(), decisionKey{}, verdict)
			handler.ServeHTTP(w, r.WithContext(ctx))
		}
	})
}

func (f *Server) decide(ctx context.Context, path string) (Decision, error) {
	m := decideRequest{Reply: ring.NewReply[Decision](), path: path}
	if err := f.inbox.Put(ctx, m); err != nil {
		return Decision{}, err
	}
	return m.Wait(ctx)
}
