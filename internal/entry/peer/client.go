// Package peer is the entry's client of the schedulers. All codec calls of the
// entry are made here.
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

// NewClient returns a client with its own connection pool.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: codec.NewTransport(0)}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Reachability says what the error of a call implies about the called process.
type Reachability int

const (
	// Answered means that the process answered, possibly with an error.
	Answered Reachability = iota
	// Unanswered means that no answer came; the process may only be slow.
	Unanswered
	// Unreachable means that no connection could be established.
	Unreachable
)

// ReachabilityOf classifies the error of a call.
func ReachabilityOf(err error) Reachability {
	var callError *codec.CallError
	var opError *net.OpError
	switch {
	case err == nil, errors.As(err, &callError) && callError.Status != 0:
		return Answered
	case errors.As(err, &opError) && opError.Op == "dial":
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
