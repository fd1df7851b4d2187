package callers

import (
	"errors"
	"net/http"
	"os"
	"time"

	"kingcupcourse/internal/budget"
	"kingcupcourse/internal/core"
)

// bodyTimeout bounds how long a caller may take to send its body.
const bodyTimeout = 10 * time.Second

// noRoomRetryAfter is the retry delay for a request whose body the host has no room for.
const noRoomRetryAfter = time.Second

// limitBodyTime sets the read deadline for the request body. net/http reads
// the rest of a body before it sends a refusal, so the deadline is removed
// only when the whole body has been read.
func limitBodyTime(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
}

// readBody reads the whole request body. Its size is limited here, its time by
// limitBodyTime.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *core.Refusal) {
	if r.ContentLength > limit {
		return nil, core.Refuse(core.ReasonTooLarge, "the request body is larger than the route allows")
	}
	body, err := budget.ReadBody(r.Context(), http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, core.Refuse(core.ReasonTooLarge, "the request body is larger than the route allows")
	case errors.Is(err, budget.ErrNoRoom):
		return nil, core.RefuseWithRetry(core.ReasonNoRoom, err.Error(), noRoomRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, core.Refuse(core.ReasonBadRequest, "the request body came too slowly")
	}
	return nil, core.Refuse(core.ReasonBadRequest, "the request body is incomplete")
}
