// Package peer is the entry's client of other processes of the system.
package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"kingcupcourse/internal/message"
)

const (
	// dialTimeout bounds a connection attempt to a process on a near host.
	dialTimeout = 500 * time.Millisecond
	// maxReplyBytes bounds an answer.
	maxReplyBytes = 4 << 20
	// maxIdlePerHost is how many unused connections are kept to one process.
	maxIdlePerHost = 64
)

// ErrStatus is returned for an answer with an unexpected HTTP status.
var ErrStatus = eris.New("unexpected status")

// Client calls the control listeners of other processes.
type Client struct {
	http *http.Client
}

// NewClient returns a client with connections of its own.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     30 * time.Second,
	}}}
}

// Close closes the unused connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Grant asks the scheduler at the address for permission to dispatch. It
// waits until the request is placed or refused, or ctx ends.
func (c *Client) Grant(ctx context.Context, address string, request message.GrantRequest) (message.GrantReply, error) {
	return post[message.GrantReply](ctx, c.http, address, message.PathGrants, request)
}

// Report sends an outcome report to the scheduler at the address.
func (c *Client) Report(ctx context.Context, address string, report message.OutcomeReport) (message.OutcomeAck, error) {
	return post[message.OutcomeAck](ctx, c.http, address, message.PathOutcomes, report)
}

func post[Reply any](ctx context.Context, client *http.Client, address, path string, body any) (reply Reply, err error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return reply, eris.Wrap(err, "encode")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return reply, eris.Wrap(err, "request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return reply, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxReplyBytes))
		return reply, eris.Wrapf(ErrStatus, "%s: %d", path, response.StatusCode)
	}
	return decode[Reply](response.Body)
}

func decode[Reply any](body io.Reader) (reply Reply, err error) {
	if err := json.NewDecoder(io.LimitReader(body, maxReplyBytes)).Decode(&reply); err != nil {
		return reply, eris.Wrap(err, "decode")
	}
	return reply, nil
}
