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
	"kingcupcourse/internal/standin/faultserver"
)

const (
	// maxValueBytes is the size of the largest value.
	maxValueBytes = 1 << 20
	// maxWatchDuration bounds how long a watch waits.
	maxWatchDuration = 5 * time.Minute
	// retryAfterSeconds is what a limited caller is told, in seconds.
	retryAfterSeconds = "1"
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
	m := getObject{Reply: ring.NewReply[getResult](), key: r.PathValue("key")}
	answer, err := call(r.Context(), p, m, m.Reply)
	if err != nil || ring.Pause(r.Context(), answer.delay) != nil {
		panic(http.ErrAbortHandler)
	}
	if answer.err != nil {
		writeError(w, answer.err)
		return
	}
	faultserver.WriteJSON(w, http.StatusOK, answer.object)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	m := putObject{Reply: ring.NewReply[putResult](), key: r.PathValue("key")}
	if !parseWrite(w, r, &m) {
		return
	}
	answer, err := call(r.Context(), p, m, m.Reply)
	if err != nil || answer.dropped || ring.Pause(r.Context(), answer.delay) != nil {
		panic(http.ErrAbortHandler)
	}
	switch {
	case answer.err != nil:
		writeError(w, answer.err)
	case answer.conflict:
		faultserver.WriteJSON(w, http.StatusConflict, versionBody{Version: answer.version})
	default:
		faultserver.WriteJSON(w, http.StatusOK, versionBody{Version: answer.version})
	}
}

func parseWrite(w http.ResponseWriter, r *http.Request, m *putObject) bool {
	expected, err := strconv.ParseInt(r.URL.Query().Get("if_version"), 10, 64)
	if err != nil || expected < 0 || m.key == "" {
		faultserver.WriteError(w, http.StatusBadRequest, "a key and if_version are needed")
		return false
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	switch {
	case err != nil:
		panic(http.ErrAbortHandler)
	case len(value) > maxValueBytes:
		faultserver.WriteError(w, http.StatusRequestEntityTooLarge, "the value is above 1 MiB")
		return false
	case !json.Valid(value):
		faultserver.WriteError(w, http.StatusBadRequest, "the value is not JSON")
		return false
	}
	m.ifVersion, m.value = expected, value
	return true
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	m, ok := parseWatch(w, r)
	if !ok {
		return
	}
	answer, err := call(r.Context(), p, m, m.Reply)
	if err != nil {
		// If the ring is full the watch ends at its deadline.
		_ = p.inbox.TryPut(cancelWatch{id: m.id})
		panic(http.ErrAbortHandler)
	}
	if ring.Pause(r.Context(), answer.delay) != nil {
		panic(http.ErrAbortHandler)
	}
	if answer.err != nil {
		writeError(w, answer.err)
		return
	}
	faultserver.WriteJSON(w, http.StatusOK, answer)
}

func parseWatch(w http.ResponseWriter, r *http.Request) (watchObjects, bool) {
	query := r.URL.Query()
	after, afterErr := parseNonNegative(query.Get("after"))
	wait, waitErr := parseNonNegative(query.Get("timeout_ms"))
	if afterErr != nil || waitErr != nil {
		faultserver.WriteError(w, http.StatusBadRequest, "after and timeout_ms are whole numbers from 0")
		return watchObjects{}, false
	}
	waiting := min(time.Duration(min(wait, maxWatchDuration.Milliseconds()))*time.Millisecond, maxWatchDuration)
	return watchObjects{
		Reply:    ring.NewReply[watchResponse](),
		id:       uuid.NewString(),
		prefix:   query.Get("prefix"),
		after:    after,
		deadline: time.Now().Add(waiting),
	}, true
}

var errNegative = errors.New("platform: the number is below 0")

// parseNonNegative reads a whole number from zero; absent means zero.
func parseNonNegative(text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err == nil && number < 0 {
		err = errNegative
	}
	return number, err
}

func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errNotFound):
		faultserver.WriteError(w, http.StatusNotFound, err.Error())
	case errors.Is(err, errRateLimited):
		w.Header().Set("Retry-After", retryAfterSeconds)
		faultserver.WriteError(w, http.StatusTooManyRequests, err.Error())
	default:
		faultserver.WriteError(w, http.StatusServiceUnavailable, err.Error())
	}
}

// call puts the message into the store's ring and waits for the reply.
func call[T any](ctx context.Context, p *Platform, m message, reply ring.Reply[T]) (T, error) {
	if err := p.inbox.Put(ctx, m); err != nil {
		var none T
		return none, err
	}
	return reply.Wait(ctx)
}
