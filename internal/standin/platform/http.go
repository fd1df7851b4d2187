package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/standin/front"
)

const (
	// maxValueBytes is the size of the largest value.
	maxValueBytes = 1 << 20
	// maxWatchTime bounds how long a watch waits.
	maxWatchTime = 5 * time.Minute
	// retryAfter is what a limited caller is told, in seconds.
	retryAfter = "1"
)

// versionBody is the body of the answer to a write.
type versionBody struct {
	Version int64 `json:"version"`
}

func (p *Platform) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{key...}", p.get)
	mux.HandleFunc("PUT /v1/objects/{key...}", p.put)
	mux.HandleFunc("GET /v1/watch", p.watch)
	return mux
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	m := readAsked{Reply: ring.NewReply[readAnswer](), key: r.PathValue("key")}
	answer, err := ask(r.Context(), p, m, m.Reply)
	if err != nil || ring.Pause(r.Context(), answer.delay) != nil {
		panic(http.ErrAbortHandler)
	}
	if answer.err != nil {
		refuse(w, answer.err)
		return
	}
	front.WriteJSON(w, http.StatusOK, answer.object)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	m := writeAsked{Reply: ring.NewReply[writeAnswer](), key: r.PathValue("key")}
	if !parseWrite(w, r, &m) {
		return
	}
	answer, err := ask(r.Context(), p, m, m.Reply)
	if err != nil || answer.lost || ring.Pause(r.Context(), answer.delay) != nil {
		panic(http.ErrAbortHandler)
	}
	switch {
	case answer.err != nil:
		refuse(w, answer.err)
	case answer.conflict:
		front.WriteJSON(w, http.StatusConflict, versionBody{Version: answer.version})
	default:
		front.WriteJSON(w, http.StatusOK, versionBody{Version: answer.version})
	}
}

func parseWrite(w http.ResponseWriter, r *http.Request, m *writeAsked) bool {
	expected, err := strconv.ParseInt(r.URL.Query().Get("if_version"), 10, 64)
	if err != nil || expected < 0 || m.key == "" {
		front.WriteError(w, http.StatusBadRequest, "a key and if_version are needed")
		return false
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	switch {
	case err != nil:
		panic(http.ErrAbortHandler)
	case len(value) > maxValueBytes:
		front.WriteError(w, http.StatusRequestEntityTooLarge, "the value is above 1 MiB")
		return false
	case !json.Valid(value):
		front.WriteError(w, http.StatusBadRequest, "the value is not JSON")
		return false
	}
	m.expected, m.value = expected, value
	return true
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	m, ok := parseWatch(w, r)
	if !ok {
		return
	}
	answer, err := ask(r.Context(), p, m, m.Reply)
	if err != nil {
		// If the ring is full the watch ends at its deadline.
		_ = p.inbox.TryPut(watchLeft{id: m.id})
		panic(http.ErrAbortHandler)
	}
	if ring.Pause(r.Context(), answer.delay) != nil {
		panic(http.ErrAbortHandler)
	}
	if answer.err != nil {
		refuse(w, answer.err)
		return
	}
	front.WriteJSON(w, http.StatusOK, answer)
}

func parseWatch(w http.ResponseWriter, r *http.Request) (watchAsked, bool) {
	query := r.URL.Query()
	after, afterErr := parseNumber(query.Get("after"))
	wait, waitErr := parseNumber(query.Get("timeout_ms"))
	if afterErr != nil || waitErr != nil {
		front.WriteError(w, http.StatusBadRequest, "after and timeout_ms are whole numbers from 0")
		return watchAsked{}, false
	}
	waiting := min(time.Duration(min(wait, maxWatchTime.Milliseconds()))*time.Millisecond, maxWatchTime)
	return watchAsked{
		Reply:    ring.NewReply[watchAnswer](),
		id:       uuid.NewString(),
		prefix:   query.Get("prefix"),
		after:    after,
		deadline: time.Now().Add(waiting),
	}, true
}

var errNegative = errors.New("platform: the number is below 0")

// parseNumber reads a whole number from zero; absent means zero.
func parseNumber(text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err == nil && number < 0 {
		err = errNegative
	}
	return number, err
}

func refuse(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errNone):
		front.WriteError(w, http.StatusNotFound, err.Error())
	case errors.Is(err, errLimited):
		w.Header().Set("Retry-After", retryAfter)
		front.WriteError(w, http.StatusTooManyRequests, err.Error())
	default:
		front.WriteError(w, http.StatusServiceUnavailable, err.Error())
	}
}

// ask puts the message into the store's ring and waits for the reply.
func ask[T any](ctx context.Context, p *Platform, m message, reply ring.Reply[T]) (T, error) {
	if err := p.inbox.Put(ctx, m); err != nil {
		var none T
		return none, err
	}
	return reply.Wait(ctx)
}
