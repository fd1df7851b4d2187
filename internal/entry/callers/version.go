package callers

import (
	"context"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/entry/admission"
	"kingcupcourse/internal/ring"
)

// dispatchGood dispatches unless the version of the grant was judged bad.
func (c *call) dispatchGood(ctx context.Context, grant core.Grant) ending {
	if !c.judgedBad(ctx, grant.Version) {
		return c.dispatch(ctx, grant)
	}
	c.exclude = append(c.exclude, grant.Endpoint)
	return ending{result: core.ResultNotDispatched, reason: core.ReasonNoEndpoint,
		detail: "the version was judged bad after the grant"}
}

// judgedBad tells whether this host knows a version as bad. A grant may be
// older than the verdict, or come from an owner that has not heard of it.
func (c *call) judgedBad(ctx context.Context, version core.Version) bool {
	ask := admission.VersionAsk{Reply: ring.NewReply[bool](),
		Version: core.EndpointVersion{Pool: c.ticket.Pool, Version: version}}
	bad, refusal := consult(ctx, c.h.Admission, ask, ask.Reply)
	return refusal == nil && bad
}
