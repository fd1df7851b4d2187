package callers

import (
	"context"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/entry/admission"
	"kingcupcourse/internal/ring"
)

// dispatchUnlessBad dispatches unless the version of the grant has been judged
// bad.
func (c *call) dispatchUnlessBad(ctx context.Context, grant core.Grant) attemptEnd {
	if !c.isBadVersion(ctx, grant.Version) {
		return c.dispatch(ctx, grant)
	}
	c.exclude = append(c.exclude, grant.Endpoint)
	return attemptEnd{result: core.ResultNotDispatched, reason: core.ReasonNoEndpoint,
		detail: "the version was judged bad after the grant"}
}

// isBadVersion reports whether this host knows that a version has been judged
// bad. A grant may predate the verdict, or come from an owner that has not
// received it.
func (c *call) isBadVersion(ctx context.Context, version core.Version) bool {
	query := admission.QueryBadVersion{Reply: ring.NewReply[bool](),
		Version: core.EndpointVersion{Pool: c.ticket.Pool, Version: version}}
	bad, refusal := askAdmission(ctx, c.h.Admission, query, query.Reply)
	return refusal == nil && bad
}
