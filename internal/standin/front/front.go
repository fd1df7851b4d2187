// Package front is the side of a stand-in that its callers meet: the
// listener, the connections, and the faults that strike them.
package front

import (
	"context"
	"net/http"

	"kingcupcourse/internal/ring"
)

// verdictKey is where the context of a request has its verdict.
type verdictKey struct{}

func verdictOf(r *http.Request) Verdict {
	verdict, _ := r.Context().Value(verdictKey{}).(Verdict)
	return verdict
}

// Wrong tells whether the request is to be answered wrongly.
func Wrong(r *http.Request) bool { return verdictOf(r).Wrong }

// Life returns how many crashes were before the request came.
func Life(r *http.Request) int { return verdictOf(r).Life }

// Address returns the bound address with its port.
func (f *Front) Address() string { return f.address }

// SetFault changes the faults by a JSON order. It returns ErrBadFault for
// an order that is not valid.
func (f *Front) SetFault(ctx context.Context, order []byte) error {
	m := settingsOrdered{Reply: ring.NewReply[error](), order: order}
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
func (f *Front) Crash() error { return f.inbox.TryPut(crashed{}) }

// CutStream tells whether the stream that begins is to be cut after half.
func (f *Front) CutStream(ctx context.Context) (bool, error) {
	m := cutAsked{Reply: ring.NewReply[bool]()}
	if err := f.inbox.Put(ctx, m); err != nil {
		return false, err
	}
	return m.Wait(ctx)
}

// guard lets the faults rule on each request before the handler sees it.
func (f *Front) guard(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		verdict, err := f.ask(r.Context(), r.URL.Path)
		switch {
		case err != nil:
			panic(http.ErrAbortHandler)
		case verdict.Fail:
			WriteError(w, http.StatusInternalServerError, "planted failure")
		default:
			ctx := context.WithValue(r.Context(), verdictKey{}, verdict)
			handler.ServeHTTP(w, r.WithContext(ctx))
		}
	})
}

func (f *Front) ask(ctx context.Context, path string) (Verdict, error) {
	m := verdictAsked{Reply: ring.NewReply[Verdict](), path: path}
	if err := f.inbox.Put(ctx, m); err != nil {
		return Verdict{}, err
	}
	return m.Wait(ctx)
}
