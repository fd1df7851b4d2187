package callers

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/entry/completions"
)

const (
	headerRequestID     = "X-Request-Id"
	headerVersion       = "X-Engine-Version"
	headerEndpointState = "X-Endpoint-State"
	headerLastEventID   = "Last-Event-ID"
	stateDraining       = "leaving"
	stateLoading        = "loading"
	eventStreamType     = "text/event-stream"
)

// attemptEnd is the result of an attempt.
type attemptEnd struct {
	result           core.Result
	reason           core.Reason
	detail           string
	status           int
	endpointDraining bool
	// endpointDied is set if the endpoint died during the attempt.
	endpointDied bool
	version      core.Version
	// response is a complete response that has not been sent to the caller.
	response *bufferedResponse
	// outputTokens counts the output tokens; firstToken and totalTime are
	// measured from the dispatch.
	outputTokens          int
	firstToken, totalTime time.Duration
}

// nonStartingStates holds the endpoint states in which no run starts.
var nonStartingStates = map[string]bool{stateDraining: true, stateLoading: true}

// strippedHeaders lists headers that are not forwarded: hop-by-hop headers,
// the caller's key, headers that would make net/http retry a request by itself,
// and headers that are meant for the entry.
var strippedHeaders = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authorization", "Proxy-Connection", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Accept-Encoding", "Content-Length",
	headerIdempotencyKey, "X-Idempotency-Key", headerDeadline, headerTier, headerLastEventID,
}

// dispatch sends the request to the endpoint of the grant at most once and
// relays its response.
func (c *call) dispatch(ctx context.Context, grant core.Grant) attemptEnd {
	c.dispatches++
	c.exclude = append(c.exclude, grant.Endpoint)
	exchange := &exchange{progressTimeout: c.progressTimeout()}
	request, err := c.buildRequest(exchange.withTrace(ctx), grant)
	if err != nil {
		return attemptEnd{result: core.ResultNotDispatched, reason: core.ReasonBadRequest, detail: err.Error()}
	}
	response, err := c.transport().RoundTrip(request)
	if err != nil {
		return c.completeEnd(exchange, c.endOnTransportError(ctx, grant, exchange, err))
	}
	response.Body = &deadlineBody{ReadCloser: response.Body, exchange: exchange}
	return c.completeEnd(exchange, c.receiveResponse(ctx, grant, exchange, response))
}

// completeEnd adds what the exchange recorded to the end of an attempt.
func (c *call) completeEnd(x *exchange, end attemptEnd) attemptEnd {
	if !x.mayHaveSent() {
		return end
	}
	end.totalTime = time.Since(x.dispatchedAt)
	if end.result != core.ResultRejected {
		c.mayHaveRun = true
	}
	return end
}

// progressTimeout returns how long the connection may be silent; zero means no
// limit. There is no limit where silence says nothing about progress: a model
// that does not stream sends its response all at once. For a run-once request,
// giving up would only leave its outcome unknown.
func (c *call) progressTimeout() time.Duration {
	if c.usesStream() || (c.parsed == nil && !c.ticket.RunOnce) {
		return c.ticket.ProgressTimeout
	}
	return 0
}

func (c *call) transport() http.RoundTripper {
	if c.ticket.RunOnce {
		return c.h.transports.unpooled
	}
	return c.h.transports.pooled
}

// buildRequest builds the request to the endpoint. GetBody is nil, so net/http
// can't rewind the body and send it a second time.
func (c *call) buildRequest(ctx context.Context, grant core.Grant) (*http.Request, error) {
	body := c.body
	if c.usesStream() && !c.parsed.Stream {
		var err error
		if body, err = completions.AsStream(c.body); err != nil {
			return nil, err
		}
	}
	url := "http://" + grant.Address + c.r.URL.RequestURI()
	request, err := http.NewRequestWithContext(ctx, c.r.Method, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.Header = c.r.Header.Clone()
	for _, name := range strippedHeaders {
		request.Header.Del(name)
	}
	request.Header.Set(headerRequestID, c.id)
	return request, nil
}

// endOnTransportError classifies an error before the response header.
func (c *call) endOnTransportError(ctx context.Context, grant core.Grant, x *exchange, err error) attemptEnd {
	if !x.mayHaveSent() {
		end := attemptEnd{result: core.ResultNotDispatched, reason: core.ReasonNoEndpoint, detail: err.Error()}
		if ctx.Err() != nil {
			end.reason = c.refusalBeforeDispatch().Reason
		}
		return end
	}
	if ctx.Err() != nil {
		return c.endCancelled(grant)
	}
	if c.usesStream() {
		return c.relayStream(ctx, grant, &streamState{err: err, dispatchedAt: x.dispatchedAt})
	}
	return c.endLost(ctx, grant, err)
}

// receiveResponse handles a response whose header has been received.
func (c *call) receiveResponse(ctx context.Context, grant core.Grant, x *exchange, response *http.Response) attemptEnd {
	var end attemptEnd
	state := response.Header.Get(headerEndpointState)
	switch {
	case response.StatusCode == http.StatusServiceUnavailable && nonStartingStates[state]:
		_ = response.Body.Close()
		end = c.endRejected(grant, state)
	case c.usesStream() && response.StatusCode == http.StatusOK && isEventStream(response.Header):
		end = c.relayStream(ctx, grant, &streamState{body: response.Body, dispatchedAt: x.dispatchedAt})
	default:
		end = c.receiveBuffered(ctx, grant, response)
	}
	end.status = response.StatusCode
	end.version = core.Version(response.Header.Get(headerVersion))
	return end
}

// endRejected ends an attempt that the endpoint did not start.
func (c *call) endRejected(grant core.Grant, state string) attemptEnd {
	draining := state == stateDraining
	if draining {
		c.publishDraining(grant.Endpoint)
	}
	return attemptEnd{result: core.ResultRejected, reason: core.ReasonNoEndpoint, endpointDraining: draining,
		detail: "the endpoint is " + state}
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), eventStreamType)
}
