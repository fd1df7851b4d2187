package callers

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"kingcupcourse/internal/core"
)

// bodyTimeout bounds how long a caller may take to send its body.
const bodyTimeout = 10 * time.Second

// readBody reads the whole request body, limited in size and time.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *core.Refusal) {
	if r.ContentLength > limit {
		return nil, core.Refuse(core.ReasonTooLarge, "the request body is larger than the route allows")
	}
	connection := http.NewResponseController(w)
	_ = connection.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = connection.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, core.Refuse(core.ReasonTooLarge, "the request body is larger than the route allows")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, core.Refuse(core.ReasonBadRequest, "the request body came too slowly")
	}
	return nil, core.Refuse(core.ReasonBadRequest, "the request body is incomplete")
}
