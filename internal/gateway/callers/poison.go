package callers

import (
	"context"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/decision/poison"
	"kingcupcourse/internal/gateway/admission"
	"kingcupcourse/internal/gateway/deaths"
	"kingcupcourse/internal/ring"
)

// poisonRetryAfter is the retry delay for a request that is considered the cause
// of endpoint deaths.
const poisonRetryAfter = 30 * time.Second

// fingerprint identifies a resent request by account, method, path and body.
func (c *call) fingerprint() string {
	hash := xxhash.New()
	for _, part := range []string{c.ticket.Account, c.r.Method, c.r.RequestURI} {
		_, _ = hash.WriteString(part + "\x00") // never fails
	}
	_, _ = hash.Write(c.body) // never fails
	return hex.EncodeToString(hash.Sum(nil))
}

// checkPoison refuses a request whose fingerprint, or a part of whose prompt, is linked
// to endpoint deaths.
func (c *call) checkPoison(ctx context.Context) *core.Refusal {
	if !c.lostEndpoint && !c.h.HasSuspects() {
		return nil
	}
	query := admission.CheckPoison{Reply: ring.NewReply[bool](), Fingerprint: c.fingerprint(), Parts: c.request.SharedPromptParts}
	if c.h.Admission.Put(ctx, query) != nil {
		return c.endedBeforePlacement()
	}
	if poisonous, err := query.Wait(ctx); err != nil || !poisonous {
		return nil
	}
	return c.correctDisposition(core.RefuseWithRetry(core.ReasonPoison, "endpoints died under this request", poisonRetryAfter))
}

// reportDeath reports the endpoint to the admission duty if it died while it ran
// the request, which a refused connection to its port shows. Otherwise the endpoint is
// watched, as the port may close later or be kept open for its successor.
func (c *call) reportDeath(endpoint catalog.Endpoint) {
	evidence := poison.Evidence{
		Fingerprint: c.fingerprint(), Endpoint: incarnation(endpoint), Parts: c.request.SharedPromptParts,
		Stage: poison.StageAfter(c.answerBegun, c.eventCount.Events),
	}
	c.lostEndpoint = true
	port := deaths.CheckPort(endpoint.Address)
	lostAttemptsTotal.WithLabelValues(string(port)).Inc()
	fields := []zap.Field{zap.String("endpoint", endpoint.Name), zap.String("request", c.request.ID),
		zap.String("route", c.routeName()), zap.Strings("prompt_parts", c.request.SharedPromptParts),
		zap.Bool("answer_begun", c.answerBegun), zap.Int("events", c.eventCount.Events), zap.String("port", string(port))}
	if port == deaths.PortRefuses {
		c.h.Log.Warn("endpoint died", fields...)
		c.sendToAdmission(admission.EndpointDied{Evidence: evidence})
		return
	}
	c.h.Log.Info("answer lost, endpoint watched", fields...)
	// A loss that finds the ring full is no evidence; the ring's metrics count it.
	_ = c.h.Losses.TryPut(deaths.Loss{Endpoint: endpoint, Evidence: evidence})
}

// incarnation names one run of an endpoint, which may start again under its name.
func incarnation(endpoint catalog.Endpoint) string {
	return endpoint.Name + "@" + strconv.FormatInt(endpoint.StartedAt.UnixMilli(), 10)
}

// answerUnderway reports whether the answer to the attempt in progress shows that its
// request does not crash the endpoint as it begins.
func (c *call) answerUnderway() bool {
	return poison.StageAfter(c.answerBegun, c.eventCount.Events) == poison.Underway
}

// reportAnswered reports an answer that is underway or complete, which clears the parts
// of its prompt of suspicion.
func (c *call) reportAnswered() {
	if len(c.request.SharedPromptParts) > 0 {
		c.sendToAdmission(admission.Answered{Parts: c.request.SharedPromptParts})
	}
}

// sendToAdmission puts a message in the admission duty's ring, even if the caller
// has disconnected.
func (c *call) sendToAdmission(m admission.Message) {
	_ = c.h.Admission.Put(context.WithoutCancel(c.r.Context()), m)
}
