package control

import (
	"context"
	"net/http"
	"time"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
)

// exchangeTimeout bounds one gossip call.
const exchangeTimeout = 300 * time.Millisecond

// outgoing is gossip for the process at an address.
type outgoing struct {
	address string
	gossip  message.Gossip
}

// caller is what the duties that call peers have in common.
type caller struct {
	self    string
	client  *http.Client
	members *ring.Ring[event]
	metrics *metrics
}

// exchanger is the duty that makes gossip calls one after the other, so that
// the members duty never waits for the network.
type exchanger struct {
	caller
	inbox *ring.Ring[outgoing]
}

// Serve implements supervisor.Duty.
func (e *exchanger) Serve(ctx context.Context) error {
	return ring.Loop(ctx, e.inbox, func(o outgoing) error { return e.call(ctx, o) })
}

func (e *exchanger) call(ctx context.Context, o outgoing) error {
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply := new(message.Gossip)
	err := codec.Call(callCtx, e.client, o.address, message.PathGossip, o.gossip, reply)
	if err != nil {
		e.metrics.gossipCalls.WithLabelValues("failed").Inc()
		return nil // an unheard peer is found by its missing heartbeat
	}
	e.metrics.gossipCalls.WithLabelValues("ok").Inc()
	return e.members.Put(ctx, answered{gossip: reply})
}

// countingTransport counts the bytes of the bodies that it carries.
type countingTransport struct {
	http.RoundTripper
	metrics *metrics
}

// RoundTrip implements http.RoundTripper.
func (t countingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	t.metrics.gossipBytes.WithLabelValues("sent").Add(float64(max(request.ContentLength, 0)))
	response, err := t.RoundTripper.RoundTrip(request)
	if err == nil {
		t.metrics.gossipBytes.WithLabelValues("received").Add(float64(max(response.ContentLength, 0)))
	}
	return response, err
}
