// Package frontend defines the wire-independent types of the request path, and
// the interface of the protocol that decodes and encodes requests, responses
// and refusals.
package frontend

import (
	"context"
	"net/http"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/catalog"
)

// Request is a caller's decoded request without its body.
type Request struct {
	// ID identifies this transmission of the request.
	ID string
	// Authority and Path select the route.
	Authority, Path string
	// Key is the caller's bearer key, empty if there is none.
	Key string
	// Timeout is how long the caller waits, counted from its sending of the
	// request; zero if it set none.
	Timeout time.Duration
	// PromptTokens and MaxOutputTokens are the caller's prompt length and output
	// limit. Both are zero for a request to a plain service.
	PromptTokens, MaxOutputTokens int
	// OutputHint is the caller's estimate of the output length in tokens, zero
	// if it gave none.
	OutputHint int
	// SharedPromptParts are the ids of the parts of the prompt that other requests
	// may have too, in order. The last part of a prompt is not among them, as it
	// belongs to the request or its session.
	SharedPromptParts []string
	// HeaderBytes is the size of the request header.
	HeaderBytes int64
}

// EndpointRequest holds the parameters of a request to an endpoint.
type EndpointRequest struct {
	Endpoint catalog.Endpoint
	// Account is the client account of the request, empty on a public route.
	Account string
	// Timeout is how long the endpoint may take.
	Timeout time.Duration
	Body    []byte
	// LastEventID is the id of the last event that the caller has received, if
	// a stream is resumed.
	LastEventID string
}

// ResponseInfo is the decoded header of an endpoint's response.
type ResponseInfo struct {
	Status int
	// NotRun reports that the endpoint did not run the request and will not.
	NotRun bool
	// MatchesRequest reports that the response belongs to the request.
	MatchesRequest bool
	// Anonymous reports that the response names no request. On a connection that
	// carried an earlier request it may be a second response to that one.
	Anonymous bool
	// Closing reports that the endpoint closes the connection after the response.
	Closing bool
	// KeepAlive is how long the endpoint keeps the connection idle, zero if it did
	// not say so.
	KeepAlive time.Duration
	// Leaving reports that the endpoint takes no new requests until it restarts.
	Leaving bool
	// Rest is how long the endpoint wants no requests of this host, zero if it did
	// not say so.
	Rest time.Duration
	// Cold is how much longer the endpoint is cold, zero if it did not say so.
	Cold time.Duration
	// Unreadable describes a header that could not be read, empty if there is none.
	Unreadable string
	// Misleading reports that the status would tell the caller that its request
	// has not run, although the endpoint did not state that.
	Misleading bool
	// Signed reports that the response is signed by an endpoint.
	Signed bool
	// EventStream reports that the body is a stream of events.
	EventStream bool
}

// Protocol decodes the messages of callers and endpoints and encodes those sent
// to them. It makes no scheduling decisions.
type Protocol interface {
	// DecodeRequest decodes the header of a caller's request. It returns a
	// refusal if the header is invalid.
	DecodeRequest(r *http.Request) (*Request, *core.Refusal)
	// BuildRequest builds the request to an endpoint from the caller's request.
	// Its body can be read only once.
	BuildRequest(ctx context.Context, r *http.Request, params EndpointRequest) (*http.Request, error)
	// InterpretResponse decodes the header of the response to a request.
	InterpretResponse(request *Request, response *http.Response) ResponseInfo
	// CopyHeader copies the header of an endpoint's response into the caller's.
	CopyHeader(header http.Header, response *http.Response)
	// WriteRefusal writes a refusal as the response to the caller.
	WriteRefusal(w http.ResponseWriter, request *Request, refusal *core.Refusal)
}
