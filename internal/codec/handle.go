package codec

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"kingcupcourse/internal/ring"
)

// StatusError is an error that Handle reports with the given HTTP status.
type StatusError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *StatusError) Error() string { return e.Message }

// Handle returns an HTTP handler for a typed message: it decodes a POST body
// into Req, calls serve with the request's context and encodes the reply. A
// *StatusError is reported with its status, a full ring or a duty that crashed
// or stopped with 503, and any other error with 500.
func Handle[Req, Rep any](serve func(context.Context, *Req) (*Rep, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			w.Header().Set("Allow", http.MethodPost)
			http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
			return
		}
		request := new(Req)
		if err := Decode(r.Body, MaxMessageBytes, request); err != nil {
			http.Error(w, err.Error(), decodeStatus(err))
			return
		}
		reply, err := serve(r.Context(), request)
		if err != nil {
			WriteError(w, err)
			return
		}
		Write(w, reply)
	})
}

// Write sends reply as JSON.
func Write(w http.ResponseWriter, reply any) {
	body, err := Encode(reply)
	if err != nil {
		WriteError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header()["Date"] = nil // omitted to reduce the size of small messages
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // fails only if the caller has disconnected
}

// WriteError sends the text of err with the status for the error.
func WriteError(w http.ResponseWriter, err error) {
	http.Error(w, err.Error(), errorStatus(err))
}

func decodeStatus(err error) int {
	if errors.Is(err, ErrTooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

func errorStatus(err error) int {
	var status *StatusError
	switch {
	case errors.As(err, &status):
		return status.Status
	case errors.Is(err, ring.ErrFull), errors.Is(err, ring.ErrAbandoned),
		errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}
