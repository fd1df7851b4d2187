package ledger

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/google/uuid"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/standin/faultserver"
	"kingcupcourse/internal/standin/orders"
)

const (
	headerRequestID = "X-Request-Id"
	headerVersion   = "X-Engine-Version"
	// maxBodyBytes limits the body of a request.
	maxBodyBytes = 16 << 20
)

func (l *Ledger) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", l.load)
	mux.HandleFunc("POST /v1/orders", orders.Handler(l.order))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/", l.serveTask)
	return mux
}

func (l *Ledger) load(w http.ResponseWriter, r *http.Request) {
	m := getLoad{Reply: ring.NewReply[loadReport]()}
	report, err := call(r.Context(), l, m, m.Reply)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	faultserver.WriteJSON(w, http.StatusOK, report)
}

func (l *Ledger) order(r *http.Request, o orders.Order) (orders.Result, error) {
	m := applyOrder{Reply: ring.NewReply[orders.Result](), order: o}
	return call(r.Context(), l, m, m.Reply)
}

// serveTask serves everything except load reports, orders and health checks. A
// request that was queued is executed even if its caller goes away.
func (l *Ledger) serveTask(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		faultserver.WriteError(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	id := r.Header.Get(headerRequestID)
	if id == "" {
		id = uuid.NewString()
	}
	t := newTask(r.Method, r.URL.Path, id, body)
	t.wrong, t.generation = faultserver.IsWrong(r), faultserver.Generation(r)
	m := runTask{Reply: ring.NewReply[taskReply](), task: t}
	reply, err := call(r.Context(), l, m, m.Reply)
	switch {
	case err != nil || errors.Is(reply.err, errLost):
		panic(http.ErrAbortHandler)
	case reply.err != nil:
		writeError(w, reply.err)
	default:
		w.Header().Set(headerVersion, reply.version)
		faultserver.WriteJSON(w, reply.result.status, reply.result.body)
	}
}

func writeError(w http.ResponseWriter, err error) {
	var notReady notReadyError
	status := http.StatusServiceUnavailable
	switch {
	case errors.As(err, &notReady):
		w.Header().Set(orders.HeaderState, notReady.state)
	case errors.Is(err, errOverload):
		status = http.StatusInternalServerError
	}
	faultserver.WriteError(w, status, err.Error())
}

// call sends a message to the ledger duty and waits for the reply.
func call[T any](ctx context.Context, l *Ledger, m message, reply ring.Reply[T]) (T, error) {
	if err := l.inbox.Put(ctx, m); err != nil {
		var zero T
		return zero, err
	}
	return reply.Wait(ctx)
}
