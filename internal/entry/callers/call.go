package callers

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"kingcupcourse/internal/decision/poison"
	"kingcupcourse/internal/entry/admission"
	"kingcupcourse/internal/entry/completions"
)

// call is the state of one caller's request.
type call struct {
	h *Handler
	w http.ResponseWriter
	r *http.Request
	// token identifies the call to the admission duty.
	token string
	// id is the request id, which the endpoint and the caller see.
	id          string
	account     string
	fingerprint string
	body        []byte
	// parsed is set for a completions request.
	parsed *completions.Request
	ticket admission.Ticket
	sink   *sink

	// attempt is the id of the attempt in progress.
	attempt string
	// exclude lists the endpoints that have been tried.
	exclude    []string
	dispatches int
	// endpointDeaths counts the endpoints that died during the request.
	endpointDeaths int
	// mayHaveRun is set once request bytes have been sent to an endpoint that
	// did not reject the request.
	mayHaveRun bool
	// journalAnswered is set once the journal has answered for the
	// idempotency key: no earlier request with the key has run.
	journalAnswered bool
	succeeded       bool

	started time.Time
	// overhead is the time that the entry itself has spent so far.
	overhead time.Duration
}

func newCall(h *Handler, w http.ResponseWriter, r *http.Request) *call {
	return &call{
		h: h, w: w, r: r, started: time.Now(),
		token: newID(), id: newID(), attempt: newID(),
	}
}

// newID returns a time-ordered id.
func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		id = uuid.New()
	}
	return id.String()
}

// close ends the call at the admission duty.
func (c *call) close() {
	closing := admission.Close{Token: c.token, Fingerprint: c.fingerprint, Succeeded: c.succeeded}
	_ = c.h.Admission.Put(context.WithoutCancel(c.r.Context()), closing)
}

// callerGone reports whether the caller has closed its connection.
func (c *call) callerGone() bool { return c.r.Context().Err() != nil }

// isPoison reports whether the request is considered the cause of the deaths
// of its endpoints.
func (c *call) isPoison() bool { return c.endpointDeaths >= poison.DeathLimit }

// usesStream reports whether the endpoint is asked for an event stream. That
// is the case for every completions request whose response can be assembled
// from a stream, so that the stream can be resumed and its progress observed.
func (c *call) usesStream() bool {
	return c.parsed != nil && (c.parsed.Stream || c.parsed.Assemblable)
}
