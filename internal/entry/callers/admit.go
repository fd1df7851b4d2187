package callers

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"kingcupcourse/internal/core"
	decision "kingcupcourse/internal/decision/admission"
	"kingcupcourse/internal/entry/admission"
	"kingcupcourse/internal/entry/completions"
	"kingcupcourse/internal/ring"
)

// admit opens the call, reads its body and requests a ticket. It returns nil
// if the request is admitted.
func (c *call) admit(ctx context.Context) *core.Refusal {
	reply, refusal := c.openRequest(ctx)
	if refusal != nil {
		return refusal
	}
	c.account = reply.Account
	if c.body, refusal = readBody(c.w, c.r, reply.Limits.MaxBodyBytes); refusal != nil {
		return refusal
	}
	bodyRead := time.Now()
	c.fingerprint = fingerprint(c.account, c.r.Method, c.r.URL.Path, c.body)
	if refusal = c.parseCompletions(reply.Limits.HasModelRoute); refusal != nil {
		return refusal
	}
	request, refusal := c.admissionRequest()
	if refusal != nil {
		return refusal
	}
	message := admission.Admit{
		Reply: ring.NewReply[admission.Ticket](), Token: c.token, Fingerprint: c.fingerprint, Request: request,
	}
	if c.ticket, refusal = askAdmission(ctx, c.h.Admission, message, message.Reply); refusal != nil {
		return refusal
	}
	if c.ticket.Refusal != nil {
		return c.ticket.Refusal
	}
	if c.ticket.IdempotencyKey != "" {
		c.id = requestIDForKey(c.account, c.ticket.IdempotencyKey)
	}
	c.sink = newSink(c)
	c.overhead += time.Since(bodyRead)
	return nil
}

func (c *call) openRequest(ctx context.Context) (admission.OpenReply, *core.Refusal) {
	opening := admission.Open{
		Reply: ring.NewReply[admission.OpenReply](), Token: c.token,
		Method: c.r.Method, Path: c.r.URL.Path, KeyHash: bearerKeyHash(c.r.Header),
	}
	reply, refusal := askAdmission(ctx, c.h.Admission, opening, opening.Reply)
	if refusal != nil {
		return reply, refusal
	}
	return reply, reply.Refusal
}

// askAdmission sends a message to the admission duty and waits for the reply.
func askAdmission[T any](ctx context.Context, inbox *ring.Ring[admission.Message], message admission.Message,
	reply ring.Reply[T]) (T, *core.Refusal) {
	var zero T
	if err := inbox.Put(ctx, message); err != nil {
		return zero, core.Refuse(core.ReasonCallerGone, "the caller has gone")
	}
	value, err := reply.Wait(ctx)
	if err != nil && ctx.Err() != nil {
		return zero, core.Refuse(core.ReasonCallerGone, "the caller has gone")
	}
	if err != nil {
		return zero, core.RefuseWithRetry(core.ReasonNotReady, err.Error(), time.Second)
	}
	return value, nil
}

// parseCompletions parses the body of a completions request on a model route.
func (c *call) parseCompletions(modelRoute bool) *core.Refusal {
	if !modelRoute || c.r.Method != http.MethodPost || !strings.HasSuffix(c.r.URL.Path, "/completions") {
		return nil
	}
	parsed, err := completions.Parse(c.body)
	if err != nil {
		return core.Refuse(core.ReasonBadRequest, err.Error())
	}
	c.parsed = &parsed
	return nil
}

// admissionRequest builds the admission request from the headers and the body.
func (c *call) admissionRequest() (decision.Request, *core.Refusal) {
	request := decision.Request{
		Method: c.r.Method, Path: c.r.URL.Path, BodyBytes: int64(len(c.body)),
		IdempotencyKey: c.r.Header.Get(headerIdempotencyKey),
	}
	request.KeyTime = uuidTime(request.IdempotencyKey)
	if c.parsed != nil {
		request.Model = c.parsed.Model
	}
	if value := c.r.Header.Get(headerTier); value != "" {
		tier, err := strconv.Atoi(value)
		if err != nil || tier < 1 {
			return request, core.Refuse(core.ReasonBadRequest, headerTier+" is not a positive number")
		}
		request.Tier = core.Tier(tier)
	}
	if value := c.r.Header.Get(headerDeadline); value != "" {
		milliseconds, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return request, core.Refuse(core.ReasonBadRequest, headerDeadline+" is not a number of milliseconds")
		}
		const maxMilliseconds = int64(24 * time.Hour / time.Millisecond)
		request.Timeout = time.Duration(min(milliseconds, maxMilliseconds)) * time.Millisecond
		request.HasTimeout = true
	}
	return request, nil
}
