package callers

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/budget"
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/gateway/admission"
	"kingcupcourse/internal/gateway/fleet"
	"kingcupcourse/internal/gateway/frontend"
	"kingcupcourse/internal/gateway/placement"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/sse"
)

// coordinatorRetryAfter is the retry delay for callers while the coordinator does
// not respond.
const coordinatorRetryAfter = 200 * time.Millisecond

// noRoomRetryAfter is the retry delay for a request whose body the host has no room for.
const noRoomRetryAfter = time.Second

// stopRetryAfter is the retry delay for a request that another host can serve at once.
const stopRetryAfter = 10 * time.Millisecond

// call is the state of one caller's request.
type call struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	received time.Time

	request *frontend.Request
	ticket  admission.Ticket
	body    []byte

	// charged reports that the request was charged against its account's limit.
	charged bool
	// lastChoice is the result of the last placement.
	lastChoice placement.Choice
	// attempt is the id of the attempt in progress, attemptStarted the time of
	// its dispatch, and timeToFirstPart the time from there to the first part of
	// the response, zero if none has arrived.
	attempt         string
	attemptStarted  time.Time
	timeToFirstPart time.Duration
	// leavingIncarnation is the start time, in Unix milliseconds, of the endpoint of
	// the attempt if it says that it is leaving.
	leavingIncarnation int64
	// triedEndpoints lists the endpoints of all attempts so far.
	triedEndpoints []string
	// possibleRuns counts the endpoints that may have run the request.
	possibleRuns int
	// lastEventID and lastEventNumber identify the last event that was relayed to
	// the caller. While resuming is set, the next event must be its successor.
	lastEventID     string
	lastEventNumber int
	resuming        bool
	// answerBegun reports that the header of a response to the attempt in progress
	// has arrived.
	answerBegun bool
	// answerBytes and eventCount count the bytes and the events of the answer to the
	// attempt in progress.
	answerBytes int64
	eventCount  sse.Counter
	// lostEndpoint reports that an attempt has lost its answer, so that the request is
	// checked before the next one.
	lostEndpoint bool
	// responseStarted reports that a part of a response has been relayed to the
	// caller.
	responseStarted bool
}

// admit decodes the request and requests a ticket. It returns nil if the request
// is admitted.
func (c *call) admit(ctx context.Context) *core.Refusal {
	var refusal *core.Refusal
	if c.request, refusal = c.h.Protocol.DecodeRequest(c.r); refusal != nil {
		return refusal
	}
	query := admission.Admit{Reply: ring.NewReply[admission.Ticket](), Request: c.request, Received: c.received}
	if c.h.Admission.Put(ctx, query) != nil {
		return core.Refuse(core.ReasonCallerGone, "the caller has gone")
	}
	ticket, err := query.Wait(ctx)
	switch {
	case ctx.Err() != nil:
		return core.Refuse(core.ReasonCallerGone, "the caller has gone")
	case err != nil:
		return core.RefuseWithRetry(core.ReasonNotReady, err.Error(), time.Second)
	}
	// The ticket of a refused request is kept for the log.
	if c.ticket = ticket; ticket.Refusal != nil {
		return ticket.Refusal
	}
	if c.h.Stop.cuts(c.received, c.ticket.Deadline) {
		return core.RefuseWithRetry(core.ReasonDraining, "this host stops before the request's deadline", stopRetryAfter)
	}
	if refusal := c.acquireQuota(ctx); refusal != nil {
		return refusal
	}
	c.charged = c.ticket.Units > 0
	return c.readBody()
}

// acquireQuota asks the coordinator for quota if this host's share of the
// account's limit is not sufficient.
func (c *call) acquireQuota(ctx context.Context) *core.Refusal {
	acquire := c.ticket.Acquire
	if acquire == nil {
		return nil
	}
	response, err := c.h.AcquireQuota(ctx, *acquire)
	if err != nil {
		alone := c.admitAlone(ctx, acquire)
		c.h.Log.Warn("quota request to the coordinator failed", zap.String("request", c.request.ID),
			zap.String("keeper", acquire.Coordinator), zap.Float64("units", acquire.Units), zap.Bool("admitted", alone),
			zap.String("error", err.Error()))
		if alone {
			return nil
		}
		return core.RefuseWithRetry(core.ReasonRateLimited, "this host's part of the account's limit is used up", coordinatorRetryAfter)
	}
	if !response.Allowed {
		return core.RefuseWithRetry(core.ReasonRateLimited, "the account is above its limit",
			time.Duration(response.RetryAfterMS)*time.Millisecond)
	}
	return nil
}

// admitAlone asks whether the request may pass without the coordinator's answer.
func (c *call) admitAlone(ctx context.Context, acquire *fleet.AcquireRequest) bool {
	query := admission.AdmitAlone{Reply: ring.NewReply[bool](), Account: acquire.Account, Units: acquire.Units}
	if c.h.Admission.Put(ctx, query) != nil {
		return false
	}
	admitted, err := query.Wait(ctx)
	return err == nil && admitted
}

// readBody reads the complete body before placement, so that the request can be
// retried and a slow caller does not occupy an endpoint.
func (c *call) readBody() *core.Refusal {
	limit := c.ticket.MaxBodyBytes
	if limit > 0 && c.r.ContentLength > limit {
		return core.Refuse(core.ReasonTooLarge, "the body is larger than allowed")
	}
	// Setting a deadline fails only on a closed connection, and then the read
	// fails as well.
	_ = http.NewResponseController(c.w).SetReadDeadline(c.ticket.Deadline)
	body := c.r.Body
	if limit > 0 {
		body = http.MaxBytesReader(c.w, body, limit)
	}
	var err error
	c.body, err = budget.ReadBody(c.r.Context(), body, c.r.ContentLength)
	if err == nil {
		_ = http.NewResponseController(c.w).SetReadDeadline(time.Time{})
		return nil
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return core.Refuse(core.ReasonTooLarge, "the body is larger than allowed")
	case errors.Is(err, budget.ErrNoRoom):
		return core.RefuseWithRetry(core.ReasonNoRoom, err.Error(), noRoomRetryAfter)
	}
	return core.Refuse(core.ReasonBadRequest, "the body did not come whole: "+err.Error())
}

// repeatable reports whether the request may run more than once.
func (c *call) repeatable() bool { return c.ticket.Route.RetryPolicy == catalog.Retryable }

// callerGone reports whether the caller has closed its connection.
func (c *call) callerGone() bool { return c.r.Context().Err() != nil }
