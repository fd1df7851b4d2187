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

// admit opens the call, reads its body and asks for a ticket. It returns nil
// if the request is let in.
func (c *call) admit(ctx context.Context) *core.Refusal {
	opened, refusal := c.openRequest(ctx)
	if refusal != nil {
		return refusal
	}
	c.account = opened.Account
	if c.body, refusal = readBody(c.w, c.r, opened.Limits.MaxBodyBytes); refusal != nil {
		return refusal
	}
	read := time.Now()
	c.fingerprint = fingerprint(c.account, c.r.Method, c.r.URL.Path, c.body)
	if refusal = c.parseCompletions(opened.Limits.HasModelRoute); refusal != nil {
		return refusal
	}
	ask, refusal := c.admissionRequest()
	if refusal != nil {
		return refusal
	}
	question := admission.Admit{
		Reply: ring.NewReply[admission.Ticket](), Token: c.token, Fingerprint: c.fingerprint, Request: ask,
	}
	if c.ticket, refusal = askAdmission(ctx, c.h.Admission, question, question.Reply); refusal != nil {
		return refusal
	}
	if c.ticket.Refusal != nil {
		return c.ticket.Refusal
	}
	if c.ticket.IdempotencyKey != "" {
		c.id = requestIDForKey(c.account, c.ticket.IdempotencyKey)
	}
	c.sink = newSink(c)
	c.overhead += time.Since(read)
	return nil
}

func (c *call) openRequest(ctx context.Context) (admission.OpenReply, *core.Refusal) {
	opening := admission.Open{
		Reply: ring.NewReply[admission.OpenReply](), Token: c.token,
		Method: c.r.Method, Path: c.r.URL.Path, KeyHash: bearerKeyHash(c.r.Header),
	}
	opened, refusal := askAdmission(ctx, c.h.Admission, opening, opening.Reply)
	if refusal != nil {
		return opened, refusal
	}
	return opened, opened.Refusal
}

// askAdmission puts a question to the admission duty and waits for the answer.
func askAdmission[T any](ctx context.Context, inbox *ring.Ring[admission.Message], question admission.Message,
	reply ring.Reply[T]) (T, *core.Refusal) {
	var none T
	if err := inbox.Put(ctx, question); err != nil {
		return none, core.Refuse(core.ReasonCallerGone, "the caller has gone")
	}
	answer, err := reply.Wait(ctx)
	if err != nil && ctx.Err() != nil {
		return none, core.Refuse(core.ReasonCallerGone, "the caller has gone")
	}
	if err != nil {
		return none, core.RefuseWithRetry(core.ReasonNotReady, err.Error(), time.Second)
	}
	return answer, nil
}

// parseCompletions reads the body of a completions request as far as routing needs it.
func (c *call) parseCompletions(model bool) *core.Refusal {
	if !model || c.r.Method != http.MethodPost || !strings.HasSuffix(c.r.URL.Path, "/completions") {
		return nil
	}
	parsed, err := completions.Parse(c.body)
	if err != nil {
		return core.Refuse(core.ReasonBadRequest, err.Error())
	}
	c.parsed = &parsed
	return nil
}

// admissionRequest gathers what the caller wants from the headers and the body.
func (c *call) admissionRequest() (decision.Request, *core.Refusal) {
	ask := decision.Request{
		Method: c.r.Method, Path: c.r.URL.Path, BodyBytes: int64(len(c.body)),
		IdempotencyKey: c.r.Header.Get(headerIdempotencyKey),
	}
	ask.KeyTime = uuidTime(ask.IdempotencyKey)
	if c.parsed != nil {
		ask.Model = c.parsed.Model
	}
	if text := c.r.Header.Get(headerTier); text != "" {
		tier, err := strconv.Atoi(text)
		if err != nil || tier < 1 {
			return ask, core.Refuse(core.ReasonBadRequest, headerTier+" is not a positive number")
		}
		ask.Tier = core.Tier(tier)
	}
	if text := c.r.Header.Get(headerDeadline); text != "" {
		milliseconds, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return ask, core.Refuse(core.ReasonBadRequest, headerDeadline+" is not a number of milliseconds")
		}
		const longest = int64(24 * time.Hour / time.Millisecond)
		ask.Timeout = time.Duration(min(milliseconds, longest)) * time.Millisecond
		ask.HasTimeout = true
	}
	return ask, nil
}
