// Package peer is the entry's client of the schedulers. It keeps the call
// sites of the codec in one place.
package peer

import (
	"context"
	"errors"
	"net"
	"net/http"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/message"
)

// Client calls the control listeners of schedulers.
type Client struct {
	http *http.Client
}

// NewClient returns a client with connections of its own.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: codec.NewTransport(0)}}
}

// Close closes the unused connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Reachability tells how sure it is, from the error of a call, that a process is
// gone.
type Reachability int

const (
	// Answered means that the process gave an answer, be it an error.
	Answered Reachability = iota
	// Unanswered means that no answer came; the process may be slow.
	Unanswered
	// Unreachable means that no connection could be made.
	Unreachable
)

// ReachabilityOf returns what the error of a call tells.
func ReachabilityOf(err error) Reachability {
	var call *codec.CallError
	var failure *net.OpError
	switch {
	case err == nil, errors.As(err, &call) && call.Status != 0:
		return Answered
	case errors.As(err, &failure) && failure.Op == "dial":
		return Unreachable
	}
	return Unanswered
}

// Grant asks the scheduler at the address for permission to dispatch. It
// waits until the request is placed or refused, or ctx ends.
func (c *Client) Grant(ctx context.Context, address string, request message.GrantRequest) (reply message.GrantReply, err error) {
	err = codec.Call(ctx, c.http, address, message.PathGrants, request, &reply)
	return reply, err
}

// Report sends an outcome report to the scheduler at the address.
func (c *Client) Report(ctx context.Context, address string, report message.OutcomeReport) (ack message.OutcomeAck, err error) {
	err = codec.Call(ctx, c.http, address, message.PathOutcomes, report, &ack)
	return ack, err
}
