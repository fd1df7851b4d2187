package control

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
)

// gossipTimeout limits the duration of a gossip call.
const gossipTimeout = 300 * time.Millisecond

// outgoingGossip is a gossip message for the peer at an address.
type outgoingGossip struct {
	address string
	gossip  message.Gossip
}

// gossipClient holds what a duty needs to make gossip calls. The pooled client
// reuses connections; the unpooled one opens a new connection for each call, as
// an open connection may have gone silent.
type gossipClient struct {
	pooled   *http.Client
	unpooled *http.Client
	members  *ring.Ring[membersMessage]
	metrics  *metrics
}

// gossipSender is the duty that makes gossip calls one after the other, so that
// the members duty never blocks on the network.
type gossipSender struct {
	gossipClient
	inbox *ring.Ring[outgoingGossip]
}

// Serve implements supervisor.Duty.
func (s *gossipSender) Serve(ctx context.Context) error {
	return ring.Loop(ctx, s.inbox, func(o outgoingGossip) error { return s.call(ctx, o) })
}

// call makes a gossip call, retries it once on a new connection if it fails, and
// passes the result to the members duty.
func (s *gossipSender) call(ctx context.Context, o outgoingGossip) error {
	for _, client := range []*http.Client{s.pooled, s.unpooled} {
		reply, err := callPeer(ctx, client, o)
		if err == nil {
			s.metrics.gossipCalls.WithLabelValues("ok").Inc()
			return s.members.Put(ctx, gossipReply{sent: o, gossip: reply})
		}
		s.metrics.gossipCalls.WithLabelValues("failed").Inc()
	}
	return s.members.Put(ctx, peerUnreachable{address: o.address})
}

func callPeer(ctx context.Context, client *http.Client, o outgoingGossip) (*message.Gossip, error) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	reply := new(message.Gossip)
	err := codec.Call(ctx, client, o.address, message.PathGossip, o.gossip, reply)
	return reply, err
}

// countBytes makes a transport count the bytes of its connections.
func countBytes(transport *http.Transport, counts *prometheus.CounterVec) {
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{connection, counts.WithLabelValues("sent"), counts.WithLabelValues("received")}, nil
	}
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	sent, received prometheus.Counter
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(float64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(float64(n))
	return n, err
}
