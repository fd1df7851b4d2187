package callers

import (
	"context"
	"net/http"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/gateway/frontend"
)

// dispatch sends the request to the endpoint, at most once, and sees its
// answer through.
func (c *call) dispatch(ctx context.Context, endpoint catalog.Endpoint) ending {
	x := &exchange{}
	request, err := c.h.Protocol.BuildRequest(x.trace(ctx), c.r, frontend.EndpointRequest{
		Endpoint: endpoint, Account: c.ticket.Account, Timeout: time.Until(c.ticket.Deadline), Body: c.body,
		LastEventID: c.lastEvent,
	})
	if err != nil {
		return ending{result: core.ResultNotDispatched, reason: core.ReasonBadRequest, detail: err.Error()}
	}
	response, err := c.transport().RoundTrip(request)
	switch {
	case err != nil && !x.bytesLeft():
		return ending{result: core.ResultNotDispatched, reason: core.ReasonNoEndpoint, detail: err.Error()}
	case err != nil && ctx.Err() != nil:
		return ending{result: core.ResultCancelled, reason: core.ReasonDeadlinePassed, detail: err.Error()}
	case err != nil:
		return ending{result: core.ResultLost, reason: core.ReasonEndpointFailed, detail: err.Error()}
	}
	defer response.Body.Close()
	end := c.receive(ctx, response)
	end.status = response.StatusCode
	return end
}

func (c *call) transport() *http.Transport {
	if c.repeatable() {
		return c.h.connections.kept
	}
	return c.h.connections.fresh
}

// receive sees an answer through whose header has come.
func (c *call) receive(ctx context.Context, response *http.Response) ending {
	answer := c.h.Protocol.InterpretResponse(c.request, response)
	switch {
	case !answer.MatchesRequest:
		return ending{result: core.ResultLost, reason: core.ReasonAnswerIncomplete,
			detail: "the answer belongs to another request"}
	case answer.NotRun:
		return ending{result: core.ResultRejected, reason: core.ReasonShed, detail: "the endpoint turned it away"}
	case answer.Status < http.StatusBadRequest && !answer.Signed:
		return ending{result: core.ResultFailed, reason: core.ReasonAnswerIncomplete,
			detail: "the answer is not signed by an endpoint"}
	case answer.Misleading:
		return ending{result: core.ResultFailed, reason: core.ReasonEndpointFailed,
			detail: "the endpoint failed without saying that it did not run the request"}
	case answer.Status >= http.StatusInternalServerError && c.mayRunAgain():
		return ending{result: core.ResultFailed, reason: core.ReasonEndpointFailed, detail: "the endpoint failed"}
	case answer.EventStream:
		return c.stream(ctx, response)
	case c.passed:
		return ending{result: core.ResultFailed, reason: core.ReasonEndpointFailed, detail: "the stream was not resumed"}
	}
	return c.whole(ctx, response, answer)
}

// mayRunAgain tells whether another endpoint may still run the request after
// the one in hand.
func (c *call) mayRunAgain() bool {
	return c.repeatable() && c.runs+1 < c.ticket.Route.MaxAttempts && time.Until(c.ticket.Deadline) > minRemaining
}
