// Package frontend holds the types that the path of a request speaks in, and
// the interface to the way in which requests, answers and refusals are spelled.
package frontend

import (
	"context"
	"net/http"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/catalog"
)

// Request is what a front end has read from a caller's request, its body
// apart.
type Request struct {
	// ID names this sending of the request.
	ID string
	// Authority and Path select the route.
	Authority, Path string
	// Key is the caller's bearer key, empty if there is none.
	Key string
	// Timeout is how long the caller will wait, counted from its sending; zero
	// if it did not say.
	Timeout time.Duration
	// PromptTokens and MaxOutputTokens are the caller's count and bound. Both
	// are zero for a request to a plain service.
	PromptTokens, MaxOutputTokens int
	// OutputHint is the caller's estimate of the output, zero if it gave
	// none.
	OutputHint int
	// HeaderBytes is the size of the request's header.
	HeaderBytes int64
}

// EndpointRequest is what a front end needs to build the request to an endpoint.
type EndpointRequest struct {
	Endpoint catalog.Endpoint
	// Account is whose request it is, empty for a public route.
	Account string
	// Timeout is how long the endpoint may work on it.
	Timeout time.Duration
	Body    []byte
	// LastEventID is the last event that the caller has, when a stream goes on.
	LastEventID string
}

// ResponseInfo is what the header of an endpoint's answer says.
type ResponseInfo struct {
	Status int
	// NotRun tells that the endpoint did not run the request and will not.
	NotRun bool
	// MatchesRequest tells that the answer belongs to the request.
	MatchesRequest bool
	// Misleading tells that the status would tell the caller that its request
	// has not run, although the endpoint does not say so.
	Misleading bool
	// Signed tells that the answer is signed by an endpoint.
	Signed bool
	// EventStream tells that the body is a stream of events.
	EventStream bool
}

// Protocol decodes what callers and endpoints send, and encodes what they get.
// It decides nothing.
type Protocol interface {
	// DecodeRequest reads the header of a caller's request. The refusal is for one
	// that can't be understood.
	DecodeRequest(r *http.Request) (*Request, *core.Refusal)
	// BuildRequest builds the request to an endpoint from the caller's. Its body
	// can be read once only.
	BuildRequest(ctx context.Context, r *http.Request, send EndpointRequest) (*http.Request, error)
	// InterpretResponse reads the header of the answer to a request.
	InterpretResponse(request *Request, response *http.Response) ResponseInfo
	// CopyHeader copies the header of an endpoint's answer for the caller.
	CopyHeader(header http.Header, response *http.Response)
	// WriteRefusal writes a refusal.
	WriteRefusal(w http.ResponseWriter, request *Request, refusal *core.Refusal)
}
