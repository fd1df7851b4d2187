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

// call is one request of a caller on its way.
type call struct {
	h *Handler
	w http.ResponseWriter
	r *http.Request
	// token names the call at the admission duty.
	token string
	// id is the request's id, which the endpoint and the caller see.
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
	// endpointDeaths counts the endpoints that died under the request.
	endpointDeaths int
	// mayHaveRun tells that bytes of the request have left for an endpoint
	// that did not say that it refused them.
	mayHaveRun bool
	// journalAnswered tells that the journal has answered for the idempotency key:
	// no earlier request with the key has run.
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

// newID returns an id that sorts by time.
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

// callerGone tells whether the caller has closed its connection.
func (c *call) callerGone() bool { return c.r.Context().Err() != nil }

// isPoison tells whether the request is taken for the cause of the deaths of
// its endpoints.
func (c *call) isPoison() bool { return c.endpointDeaths >= poison.DeathLimit }

// usesStream tells whether the endpoint is asked for a stream of events: for
// every completions request whose answer can be put together from one, so
// that it can be resumed and its progress seen.
func (c *call) usesStream() bool {
	return c.parsed != nil && (c.parsed.Stream || c.parsed.Assemblable)
}
