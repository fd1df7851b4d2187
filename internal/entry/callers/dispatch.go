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
	stateLeaving        = "leaving"
	stateLoading        = "loading"
	eventStream         = "text/event-stream"
)

// ending is what is known of an attempt when it is over.
type ending struct {
	result  core.Result
	reason  core.Reason
	detail  string
	status  int
	leaving bool
	// died tells that the endpoint died under the request.
	died    bool
	version core.Version
	// answer is a whole answer that the caller has not seen yet.
	answer *answer
	// tokens, firstToken and total measure the attempt from its dispatch.
	tokens            int
	firstToken, total time.Duration
}

// notStarted holds the states in which an endpoint starts no run.
var notStarted = map[string]bool{stateLeaving: true, stateLoading: true}

// notForwarded lists the caller's headers that no endpoint gets: those of
// one connection, the caller's key, and those that would make net/http send
// a request again by itself.
var notForwarded = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authorization", "Proxy-Connection", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Accept-Encoding", "Content-Length",
	headerKey, "X-Idempotency-Key", headerDeadline, headerTier, headerLastEventID,
}

// dispatch sends the request to the endpoint of the grant, at most once, and
// sees its answer through.
func (c *call) dispatch(ctx context.Context, grant core.Grant) ending {
	c.dispatches++
	c.exclude = append(c.exclude, grant.Endpoint)
	exchange := &exchange{silence: c.silence()}
	request, err := c.outgoing(exchange.trace(ctx), grant)
	if err != nil {
		return ending{result: core.ResultNotDispatched, reason: core.ReasonBadRequest, detail: err.Error()}
	}
	response, err := c.connections().RoundTrip(request)
	if err != nil {
		return c.settled(exchange, c.noAnswer(ctx, grant, exchange, err))
	}
	response.Body = &watchedBody{ReadCloser: response.Body, exchange: exchange}
	return c.settled(exchange, c.receive(ctx, grant, exchange, response))
}

// settled completes the end of an attempt with what the exchange tells.
func (c *call) settled(x *exchange, end ending) ending {
	if !x.bytesLeft() {
		return end
	}
	end.total = time.Since(x.dispatched)
	if end.result != core.ResultRejected {
		c.mayHaveRun = true
	}
	return end
}

// silence returns how long the connection may be silent. There is no limit
// where silence tells nothing: a whole answer of a model comes all at once,
// and giving up on a run-once request would only leave its outcome unknown.
func (c *call) silence() time.Duration {
	if c.streamed() || (c.parsed == nil && !c.ticket.RunOnce) {
		return c.ticket.ProgressTimeout
	}
	return 0
}

func (c *call) connections() *http.Transport {
	if c.ticket.RunOnce {
		return c.h.endpoints.fresh
	}
	return c.h.endpoints.kept
}

// outgoing builds the request for the endpoint. The body cannot be rewound
// (GetBody is nil), so that net/http cannot send it a second time.
func (c *call) outgoing(ctx context.Context, grant core.Grant) (*http.Request, error) {
	body := c.body
	if c.streamed() && !c.parsed.Stream {
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
	for _, name := range notForwarded {
		request.Header.Del(name)
	}
	request.Header.Set(headerRequestID, c.id)
	return request, nil
}

// noAnswer tells what an error before the answer's header means.
func (c *call) noAnswer(ctx context.Context, grant core.Grant, x *exchange, err error) ending {
	if !x.bytesLeft() {
		end := ending{result: core.ResultNotDispatched, reason: core.ReasonNoEndpoint, detail: err.Error()}
		if ctx.Err() != nil {
			end.reason = c.endedEarly().Reason
		}
		return end
	}
	if ctx.Err() != nil {
		return c.cancelled(grant)
	}
	if c.streamed() {
		return c.followStream(ctx, grant, &relay{cause: err, dispatched: x.dispatched})
	}
	return c.lost(ctx, grant, err)
}

// receive sees an answer through whose header has come.
func (c *call) receive(ctx context.Context, grant core.Grant, x *exchange, response *http.Response) ending {
	var end ending
	state := response.Header.Get(headerEndpointState)
	switch {
	case response.StatusCode == http.StatusServiceUnavailable && notStarted[state]:
		_ = response.Body.Close()
		end = c.rejected(grant, state)
	case c.streamed() && response.StatusCode == http.StatusOK && isEventStream(response.Header):
		end = c.followStream(ctx, grant, &relay{body: response.Body, dispatched: x.dispatched})
	default:
		end = c.whole(ctx, grant, response)
	}
	end.status = response.StatusCode
	end.version = core.Version(response.Header.Get(headerVersion))
	return end
}

// rejected is the end of an attempt that the endpoint did not start.
func (c *call) rejected(grant core.Grant, state string) ending {
	leaving := state == stateLeaving
	if leaving {
		c.tellLeaving(grant.Endpoint)
	}
	return ending{result: core.ResultRejected, reason: core.ReasonNoEndpoint, leaving: leaving,
		detail: "the endpoint is " + state}
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), eventStream)
}
