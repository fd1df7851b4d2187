package callers

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/gateway/admission"
	"kingcupcourse/internal/gateway/frontend"
	"kingcupcourse/internal/gateway/placement"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/sse"
)

// keeperRetry is when a caller may come back if the limits' keeper is silent.
const keeperRetry = 200 * time.Millisecond

// call is one request of a caller on its way.
type call struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	received time.Time

	request *frontend.Request
	ticket  admission.Ticket
	body    []byte

	// choice is the last answer to where the request may run.
	choice placement.Choice
	// attempt names the attempt in progress, began is when it was sent, and
	// firstPart how long its first part took, zero if none has come.
	attempt   string
	began     time.Time
	firstPart time.Duration
	// exclude lists the endpoints that have been tried.
	exclude []string
	// runs counts the endpoints that may have run the request.
	runs int
	// lastEvent and lastNumber are the id of the last event that the caller
	// has; resumed tells that the next event must be the one after it.
	lastEvent  string
	lastNumber int
	resumed    bool
	// eventCount counts the events of the attempt in progress.
	eventCount sse.Counter
	// passed tells that a part of an answer has reached the caller.
	passed bool
}

// admit reads the request and asks for a ticket. It returns nil if the request
// is let in.
func (c *call) admit(ctx context.Context) *core.Refusal {
	var refusal *core.Refusal
	if c.request, refusal = c.h.Protocol.DecodeRequest(c.r); refusal != nil {
		return refusal
	}
	ask := admission.Admit{Reply: ring.NewReply[admission.Ticket](), Request: c.request, Received: c.received}
	if c.h.Admission.Put(ctx, ask) != nil {
		return core.Refuse(core.ReasonCallerGone, "the caller has gone")
	}
	ticket, err := ask.Wait(ctx)
	switch {
	case ctx.Err() != nil:
		return core.Refuse(core.ReasonCallerGone, "the caller has gone")
	case err != nil:
		return core.RefuseWithRetry(core.ReasonNotReady, err.Error(), time.Second)
	}
	// A refused request has a ticket too, for the log.
	if c.ticket = ticket; ticket.Refusal != nil {
		return ticket.Refusal
	}
	if refusal := c.acquire(ctx); refusal != nil {
		return refusal
	}
	return c.readBody()
}

// acquire asks the keeper of the ledger, if this host's part of the account's
// limit does not suffice.
func (c *call) acquire(ctx context.Context) *core.Refusal {
	want := c.ticket.Acquire
	if want == nil {
		return nil
	}
	decided, err := c.h.AcquireQuota(ctx, *want)
	if err != nil {
		c.h.Log.Warn("keeper of the ledger did not answer", zap.String("request", c.request.ID),
			zap.String("keeper", want.Coordinator), zap.String("error", err.Error()))
		return core.RefuseWithRetry(core.ReasonRateLimited, "this host's part of the account's limit is used up", keeperRetry)
	}
	if !decided.Allowed {
		return core.RefuseWithRetry(core.ReasonRateLimited, "the account is above its limit",
			time.Duration(decided.RetryAfterMS)*time.Millisecond)
	}
	return nil
}

// readBody reads the whole body, so that the request can be sent again and a
// slow caller holds no endpoint.
func (c *call) readBody() *core.Refusal {
	limit := c.ticket.MaxBodyBytes
	if limit > 0 && c.r.ContentLength > limit {
		return core.Refuse(core.ReasonTooLarge, "the body is larger than allowed")
	}
	// Setting a deadline fails only on a connection that has ended, and then
	// the read fails as well.
	_ = http.NewResponseController(c.w).SetReadDeadline(c.ticket.Deadline)
	body := c.r.Body
	if limit > 0 {
		body = http.MaxBytesReader(c.w, body, limit)
	}
	var err error
	c.body, err = io.ReadAll(body)
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return core.Refuse(core.ReasonTooLarge, "the body is larger than allowed")
	case err != nil:
		return core.Refuse(core.ReasonBadRequest, "the body did not come whole: "+err.Error())
	}
	return nil
}

// repeatable tells whether the request may run more than once.
func (c *call) repeatable() bool { return c.ticket.Route.RetryPolicy == catalog.Retryable }

// callerGone tells whether the caller has closed its connection.
func (c *call) callerGone() bool { return c.r.Context().Err() != nil }
