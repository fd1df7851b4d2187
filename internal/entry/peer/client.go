// Package peer is the entry's client of the schedulers. It keeps the call
// sites of the codec in one place.
package peer

import (
	"context"
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
