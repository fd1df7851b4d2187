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
	// maxBodyBytes bounds the body of a request.
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

// serveTask serves all that is not a report, an order or a check. A request that
// was taken in is run even if its caller goes away.
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
	answer, err := call(r.Context(), l, m, m.Reply)
	switch {
	case err != nil || errors.Is(answer.err, errLost):
		panic(http.ErrAbortHandler)
	case answer.err != nil:
		writeError(w, answer.err)
	default:
		w.Header().Set(headerVersion, answer.version)
		faultserver.WriteJSON(w, answer.result.status, answer.result.body)
	}
}

func writeError(w http.ResponseWriter, err error) {
	var state notReadyError
	status := http.StatusServiceUnavailable
	switch {
	case errors.As(err, &state):
		w.Header().Set(orders.HeaderState, state.state)
	case errors.Is(err, errOverload):
		status = http.StatusInternalServerError
	}
	faultserver.WriteError(w, status, err.Error())
}

// call puts the message into the ledger's ring and waits for the reply.
func call[T any](ctx context.Context, l *Ledger, m message, reply ring.Reply[T]) (T, error) {
	if err := l.inbox.Put(ctx, m); err != nil {
		var none T
		return none, err
	}
	return reply.Wait(ctx)
}
