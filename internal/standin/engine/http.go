package engine

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/standin/faultserver"
	"kingcupcourse/internal/standin/orders"
)

const (
	headerRequestID   = "X-Request-Id"
	headerVersion     = "X-Engine-Version"
	headerLastEventID = "Last-Event-ID"
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 16 << 20
)

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.completions)
	mux.HandleFunc("POST /v1/chat/completions", e.chatCompletions)
	mux.HandleFunc("GET /v1/runs/{id}/stream", e.resume)
	mux.HandleFunc("DELETE /v1/runs/{id}", e.cancel)
	mux.HandleFunc("GET /v1/load", e.load)
	mux.HandleFunc("GET /v1/cache_events", e.cacheEvents)
	mux.HandleFunc("POST /v1/orders", orders.Handler(e.order))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return mux
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	m := cancelRun{Reply: ring.NewReply[bool](), id: r.PathValue("id")}
	if _, err := call(r.Context(), e, m, m.Reply); err != nil {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	m := getLoad{Reply: ring.NewReply[loadReport]()}
	report, err := call(r.Context(), e, m, m.Reply)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	faultserver.WriteJSON(w, http.StatusOK, report)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := parseEventNumber(r.URL.Query().Get("after"))
	if err != nil {
		faultserver.WriteError(w, http.StatusBadRequest, "after is a whole number from 0")
		return
	}
	m := getEvents{Reply: ring.NewReply[eventsResponse](), after: after}
	events, err := call(r.Context(), e, m, m.Reply)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	faultserver.WriteJSON(w, http.StatusOK, events)
}

func (e *Engine) order(r *http.Request, o orders.Order) (orders.Result, error) {
	m := applyOrder{Reply: ring.NewReply[orders.Result](), order: o}
	return call(r.Context(), e, m, m.Reply)
}

// writeError answers a request that has no run.
func writeError(w http.ResponseWriter, err error) {
	var state notReadyError
	switch {
	case errors.As(err, &state):
		w.Header().Set(orders.HeaderState, state.state)
		faultserver.WriteError(w, http.StatusServiceUnavailable, err.Error())
	case errors.Is(err, errDuplicateID):
		faultserver.WriteError(w, http.StatusConflict, err.Error())
	case errors.Is(err, errTooLong):
		faultserver.WriteError(w, http.StatusBadRequest, err.Error())
	case errors.Is(err, errQueueFull):
		faultserver.WriteError(w, http.StatusServiceUnavailable, err.Error())
	case errors.Is(err, errOverload):
		faultserver.WriteError(w, http.StatusInternalServerError, err.Error())
	case errors.Is(err, errUnknownRun):
		faultserver.WriteError(w, http.StatusNotFound, err.Error())
	case errors.Is(err, errCancelled):
		faultserver.WriteError(w, http.StatusGone, err.Error())
	default:
		panic(http.ErrAbortHandler)
	}
}

var errNegative = errors.New("engine: the number is below 0")

// parseEventNumber reads a whole number from zero; absent means zero.
func parseEventNumber(text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err == nil && number < 0 {
		err = errNegative
	}
	return number, err
}

// call puts the message into the engine's ring and waits for the reply.
func call[T any](ctx context.Context, e *Engine, m message, reply ring.Reply[T]) (T, error) {
	if err := e.inbox.Put(ctx, m); err != nil {
		var none T
		return none, err
	}
	return reply.Wait(ctx)
}
