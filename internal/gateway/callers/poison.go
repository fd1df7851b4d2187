package callers

import (
	"context"
	"encoding/hex"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/poison"
	"kingcupcourse/internal/gateway/admission"
	"kingcupcourse/internal/ring"
)

// poisonRetry is when a caller may come back whose request is taken for the
// cause of its endpoints' deaths.
const poisonRetry = 30 * time.Second

// fingerprint recognises a request that is sent again, by account, method,
// path and body.
func (c *call) fingerprint() string {
	hash := xxhash.New()
	for _, part := range []string{c.ticket.Account, c.r.Method, c.r.RequestURI} {
		_, _ = hash.WriteString(part + "\x00") // never fails
	}
	_, _ = hash.Write(c.body) // never fails
	return hex.EncodeToString(hash.Sum(nil))
}

// checkPoison refuses a request that has killed endpoints.
func (c *call) checkPoison(ctx context.Context) *core.Refusal {
	if !c.ticket.CheckPoison {
		return nil
	}
	ask := admission.CheckPoison{Reply: ring.NewReply[bool](), Fingerprint: c.fingerprint()}
	if c.h.Admission.Put(ctx, ask) != nil {
		return c.endedEarly()
	}
	if suspected, err := ask.Wait(ctx); err != nil || !suspected {
		return nil
	}
	return c.honest(core.RefuseWithRetry(core.ReasonPoison, "endpoints died under this request", poisonRetry))
}

// noteDeath tells the admission duty if an endpoint died under the request: if
// it has closed its port since.
func (c *call) noteDeath(endpoint core.Endpoint) {
	connection, err := net.DialTimeout("tcp", endpoint.Address, dialTimeout)
	if err == nil {
		_ = connection.Close()
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	c.tell(admission.EndpointDied{Death: poison.Death{Fingerprint: c.fingerprint(), Endpoint: endpoint.Name}})
}

// tell puts a message in the ring of the admission duty, also when the caller
// has gone.
func (c *call) tell(m admission.Message) {
	_ = c.h.Admission.Put(context.WithoutCancel(c.r.Context()), m)
}
