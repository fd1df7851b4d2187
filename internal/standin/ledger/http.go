package ledger

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/google/uuid"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/standin/front"
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
	mux.HandleFunc("/", l.work)
	return mux
}

func (l *Ledger) load(w http.ResponseWriter, r *http.Request) {
	m := loadAsked{Reply: ring.NewReply[loadReport]()}
	report, err := ask(r.Context(), l, m, m.Reply)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	front.WriteJSON(w, http.StatusOK, report)
}

func (l *Ledger) order(r *http.Request, o orders.Order) (orders.Answer, error) {
	m := orderGiven{Reply: ring.NewReply[orders.Answer](), order: o}
	return ask(r.Context(), l, m, m.Reply)
}

// work serves all that is not a report, an order or a check. A request that
// was taken in is run even if its caller goes away.
func (l *Ledger) work(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		front.WriteError(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	id := r.Header.Get(headerRequestID)
	if id == "" {
		id = uuid.NewString()
	}
	t := taskOf(r.Method, r.URL.Path, id, body)
	t.wrong, t.life = front.Wrong(r), front.Life(r)
	m := workAsked{Reply: ring.NewReply[workAnswer](), task: t}
	answer, err := ask(r.Context(), l, m, m.Reply)
	switch {
	case err != nil || errors.Is(answer.err, errLost):
		panic(http.ErrAbortHandler)
	case answer.err != nil:
		refuse(w, answer.err)
	default:
		w.Header().Set(headerVersion, answer.version)
		front.WriteJSON(w, answer.result.status, answer.result.body)
	}
}

func refuse(w http.ResponseWriter, err error) {
	var state notStarted
	status := http.StatusServiceUnavailable
	switch {
	case errors.As(err, &state):
		w.Header().Set(orders.HeaderState, state.state)
	case errors.Is(err, errOverload):
		status = http.StatusInternalServerError
	}
	front.WriteError(w, status, err.Error())
}

// ask puts the message into the ledger's ring and waits for the reply.
func ask[T any](ctx context.Context, l *Ledger, m message, reply ring.Reply[T]) (T, error) {
	if err := l.inbox.Put(ctx, m); err != nil {
		var none T
		return none, err
	}
	return reply.Wait(ctx)
}
