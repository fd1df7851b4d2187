package callers

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/gateway/connections"
	"kingcupcourse/internal/gateway/frontend"
	"kingcupcourse/internal/gateway/placement"
)

// dispatch sends the request to the endpoint at most once and relays the
// response.
func (c *call) dispatch(ctx context.Context, endpoint catalog.Endpoint) attemptOutcome {
	request, err := c.h.Protocol.BuildRequest(ctx, c.r, frontend.EndpointRequest{
		Endpoint: endpoint, Account: c.ticket.Account, Timeout: time.Until(c.ticket.Deadline), Body: c.body,
		LastEventID: c.lastEventID,
	})
	if err != nil {
		return attemptOutcome{result: core.ResultNotDispatched, reason: core.ReasonBadRequest, detail: err.Error()}
	}
	lease := c.h.Connections.Take(ctx, connections.Request{Endpoint: endpoint, Repeatable: c.repeatable()})
	outcome, info := c.exchange(ctx, endpoint, lease, request)
	outcome.reused = lease.Reused()
	lease.Close(ctx, connections.Result{
		Answered: info.MatchesRequest && !info.Anonymous && !info.Closing && !info.Leaving && outcome.result != core.ResultLost,
		Fault:    isConnectionFault(ctx, lease, outcome), KeepAlive: info.KeepAlive,
	})
	return outcome
}

// isConnectionFault reports whether the outcome casts doubt on other connections to
// the endpoint. So does silence on a kept connection.
func isConnectionFault(ctx context.Context, lease *connections.Lease, outcome attemptOutcome) bool {
	switch outcome.result {
	case core.ResultLost:
		return true
	case core.ResultNotDispatched:
		return ctx.Err() == nil
	case core.ResultCancelled:
		return lease.Reused() && outcome.status == 0 && outcome.reason == core.ReasonDeadlinePassed
	}
	return false
}

// exchange sends the request on the leased connection and relays the response. The
// info is empty if there was no response.
func (c *call) exchange(ctx context.Context, endpoint catalog.Endpoint, lease *connections.Lease, request *http.Request) (attemptOutcome, frontend.ResponseInfo) {
	response, err := lease.RoundTrip(request)
	switch {
	case err != nil && !lease.MayHaveWritten():
		return attemptOutcome{result: core.ResultNotDispatched, reason: core.ReasonNoEndpoint, detail: err.Error()}, frontend.ResponseInfo{}
	case err != nil && ctx.Err() != nil:
		return attemptOutcome{result: core.ResultCancelled, reason: core.ReasonDeadlinePassed, detail: err.Error()}, frontend.ResponseInfo{}
	case err != nil:
		c.answerBegun = errors.Is(err, io.ErrUnexpectedEOF) // inside the header
		return attemptOutcome{result: core.ResultLost, reason: core.ReasonEndpointFailed, detail: err.Error()}, frontend.ResponseInfo{}
	}
	defer response.Body.Close()
	response.Body = countingBody{response.Body, &c.answerBytes}
	c.answerBegun = true
	info := c.h.Protocol.InterpretResponse(c.request, response)
	if info.MatchesRequest {
		c.reportEndpointSaid(endpoint, info)
	}
	if info.Anonymous && lease.Reused() {
		info.MatchesRequest = false
	}
	outcome := c.receive(ctx, response, info)
	outcome.status = response.StatusCode
	return outcome, info
}

// reportEndpointSaid tells the placement duty what the endpoint says about itself,
// before another request can be placed there for this caller.
func (c *call) reportEndpointSaid(endpoint catalog.Endpoint, info frontend.ResponseInfo) {
	c.leavingIncarnation = 0
	if info.Leaving {
		c.leavingIncarnation = endpoint.StartedAt.UnixMilli()
	}
	if info.Leaving || info.Rest > 0 || info.Cold > 0 || info.Unreadable != "" {
		c.h.EndpointSaid(context.WithoutCancel(c.r.Context()), placement.EndpointSaid{
			Endpoint: endpoint, Leaving: info.Leaving, Rest: info.Rest, Cold: info.Cold, Unreadable: info.Unreadable,
		})
	}
}

// receive handles a response after its header has arrived. An error of an endpoint
// that was to resume a stream is not passed on, whatever its form.
func (c *call) receive(ctx context.Context, response *http.Response, info frontend.ResponseInfo) attemptOutcome {
	isSuccess := info.Status < http.StatusMultipleChoices
	switch {
	case !info.MatchesRequest:
		return attemptOutcome{result: core.ResultLost, reason: core.ReasonResponseIncomplete,
			detail: "the answer belongs to another request"}
	case info.NotRun:
		return attemptOutcome{result: core.ResultRejected, reason: core.ReasonShed, detail: "the endpoint turned it away"}
	case info.Status < http.StatusBadRequest && !info.Signed:
		return attemptOutcome{result: core.ResultFailed, reason: core.ReasonResponseIncomplete,
			detail: "the answer is not signed by an endpoint"}
	case info.Misleading:
		return attemptOutcome{result: core.ResultFailed, reason: core.ReasonEndpointFailed,
			detail: "the endpoint failed without saying that it did not run the request"}
	case info.Status >= http.StatusInternalServerError && c.canRunAgain():
		return attemptOutcome{result: core.ResultFailed, reason: core.ReasonEndpointFailed, detail: "the endpoint failed"}
	case info.EventStream && isSuccess:
		return c.relayStream(ctx, response)
	case c.responseStarted:
		return attemptOutcome{result: core.ResultFailed, reason: core.ReasonEndpointFailed, detail: "the stream was not resumed"}
	}
	return c.relayBuffered(ctx, response, info)
}

// canRunAgain reports whether another endpoint may still run the request after
// the current attempt.
func (c *call) canRunAgain() bool {
	return c.repeatable() && c.possibleRuns+1 < c.ticket.Route.MaxAttempts && time.Until(c.ticket.Deadline) > minTimeForRetry
}
