package callers

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"kingcupcourse/internal/core"
	decision "kingcupcourse/internal/decision/admission"
)

const (
	headerDisposition = "Kingcup-Disposition"
	headerReplayed    = "Kingcup-Replayed"
	// statusCallerGone is the status for a caller that closed its connection.
	statusCallerGone = 499
)

type refusalBody struct {
	Error refusalError `json:"error"`
}

// refusalError is the form of a core.Refusal that callers receive.
type refusalError struct {
	Disposition  core.Disposition `json:"disposition"`
	Reason       core.Reason      `json:"reason"`
	Detail       string           `json:"detail"`
	Retry        bool             `json:"retry"`
	RetryAfterMS int64            `json:"retry_after_ms"`
	RequestID    string           `json:"request_id"`
}

// statusByReason holds the HTTP status of each reason; the others get 503.
var statusByReason = map[core.Reason]int{
	core.ReasonBadRequest:         http.StatusBadRequest,
	core.ReasonKeyRequired:        http.StatusBadRequest,
	core.ReasonUnauthenticated:    http.StatusUnauthorized,
	core.ReasonForbidden:          http.StatusForbidden,
	core.ReasonUnknownRoute:       http.StatusNotFound,
	core.ReasonInProgress:         http.StatusConflict,
	core.ReasonKeyReused:          http.StatusConflict,
	core.ReasonAlreadyRun:         http.StatusConflict,
	core.ReasonTooLarge:           http.StatusRequestEntityTooLarge,
	core.ReasonKeyExpired:         http.StatusUnprocessableEntity,
	core.ReasonPoison:             http.StatusUnprocessableEntity,
	core.ReasonRateLimited:        http.StatusTooManyRequests,
	core.ReasonEndpointFailed:     http.StatusBadGateway,
	core.ReasonResponseIncomplete: http.StatusBadGateway,
	core.ReasonDeadlinePassed:     http.StatusGatewayTimeout,
	core.ReasonDeadlineTooSoon:    http.StatusGatewayTimeout,
	core.ReasonCallerGone:         statusCallerGone,
}

func statusOf(reason core.Reason) int {
	if status, ok := statusByReason[reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// refuse sends a refusal to the caller. If a stream has started, the refusal
// is sent as its last event.
func (c *call) refuse(refusal *core.Refusal) {
	refusal = c.adjustDisposition(refusal)
	c.logRefusal(refusal)
	refusalsTotal.WithLabelValues(string(refusal.Reason)).Inc()
	c.recordMetrics(string(refusal.Disposition))
	body, _ := json.Marshal(refusalBody{Error: refusalError{
		Disposition: refusal.Disposition, Reason: refusal.Reason, Detail: refusal.Detail,
		Retry: refusal.Retry, RetryAfterMS: refusal.RetryAfter.Milliseconds(), RequestID: c.id,
	}})
	if c.sink != nil && c.sink.started {
		_ = c.sink.write([]byte("event: error\ndata: " + string(body) + "\n\n"))
		return
	}
	c.writeRefusal(refusal, body)
}

func (c *call) writeRefusal(refusal *core.Refusal, body []byte) {
	header := c.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(headerRequestID, c.id)
	header.Set(headerDisposition, string(refusal.Disposition))
	if refusal.RetryAfter > 0 {
		seconds := int(math.Ceil(refusal.RetryAfter.Seconds()))
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	c.w.WriteHeader(statusOf(refusal.Reason))
	_, _ = c.w.Write(append(body, '\n'))
}

// adjustDisposition changes "not run" to "outcome unknown" if an earlier
// attempt of this request, or an earlier request with its key, may have run.
func (c *call) adjustDisposition(refusal *core.Refusal) *core.Refusal {
	if refusal.Disposition != core.NotRun || !c.mayHaveRun && !c.refusedBeforeJournal(refusal) {
		return refusal
	}
	changed := *refusal
	changed.Disposition = core.OutcomeUnknown
	return &changed
}

// refusedBeforeJournal reports whether a request with an idempotency key is
// refused for a temporary reason before the journal has answered. An earlier
// request with the key may have run in that case. A refusal caused by the
// request itself applies equally to every request with the key, so it does not
// count.
func (c *call) refusedBeforeJournal(refusal *core.Refusal) bool {
	if c.journalAnswered || c.r.Header.Get(headerIdempotencyKey) == "" {
		return false
	}
	switch refusal.Reason {
	case core.ReasonDeadlinePassed, core.ReasonCallerGone:
		return true
	}
	return refusal.Retry
}

// refusalForEnd returns the refusal that describes how the last attempt ended.
func (c *call) refusalForEnd(end attemptEnd) *core.Refusal {
	switch {
	case end.reason == core.ReasonAlreadyRun:
		return &core.Refusal{Disposition: core.AlreadyRun, Reason: end.reason, Detail: end.detail}
	case end.result == core.ResultNotDispatched, end.result == core.ResultRejected:
		return core.RefuseWithRetry(end.reason, end.detail, time.Second)
	case c.isPoison():
		return &core.Refusal{Disposition: core.OutcomeUnknown, Reason: core.ReasonPoison,
			Detail: "endpoints died under this request", Retry: true, RetryAfter: decision.PoisonRetryAfter}
	}
	return &core.Refusal{
		Disposition: core.OutcomeUnknown, Reason: end.reason, Detail: end.detail, Retry: !c.ticket.RunOnce,
	}
}

// replay answers a resend with the recorded outcome of its key.
func (c *call) replay(prior *core.PriorOutcome) {
	if !prior.Complete {
		c.refuse(&core.Refusal{Disposition: core.AlreadyRun, Reason: core.ReasonAlreadyRun,
			Detail: "an earlier request with this key has run; its answer is not kept"})
		return
	}
	header := http.Header{headerReplayed: {"true"}}
	if prior.ContentType != "" {
		header.Set("Content-Type", prior.ContentType)
	}
	c.writeResponse(&bufferedResponse{status: prior.Status, header: header, body: prior.ResponseBody})
	c.logReplay()
	c.recordMetrics("replayed")
}
