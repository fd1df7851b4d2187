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

// gossipTimeout bounds one gossip call.
const gossipTimeout = 300 * time.Millisecond

// outgoingGossip is gossip for the process at an address.
type outgoingGossip struct {
	address string
	gossip  message.Gossip
}

// gossipClient is what the duties that call peers have in common. The client keeps
// connections; fresh opens one for each call, as open ones may have gone
// silent.
type gossipClient struct {
	pooled   *http.Client
	unpooled *http.Client
	members  *ring.Ring[membersMessage]
	metrics  *metrics
}

// gossipSender is the duty that makes gossip calls one after the other, so that
// the members duty never waits for the network.
type gossipSender struct {
	gossipClient
	inbox *ring.Ring[outgoingGossip]
}

// Serve implements supervisor.Duty.
func (e *gossipSender) Serve(ctx context.Context) error {
	return ring.Loop(ctx, e.inbox, func(o outgoingGossip) error { return e.call(ctx, o) })
}

// call makes a call, once more if it fails, and hands on the answer.
func (e *gossipSender) call(ctx context.Context, o outgoingGossip) error {
	for _, client := range []*http.Client{e.pooled, e.unpooled} {
		reply, err := callPeer(ctx, client, o)
		if err == nil {
			e.metrics.gossipCalls.WithLabelValues("ok").Inc()
			return e.members.Put(ctx, gossipReply{sent: o, gossip: reply})
		}
		e.metrics.gossipCalls.WithLabelValues("failed").Inc()
	}
	return e.members.Put(ctx, peerUnreachable{address: o.address})
}

func callPeer(ctx context.Context, client *http.Client, o outgoingGossip) (*message.Gossip, error) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	reply := new(message.Gossip)
	err := codec.Call(ctx, client, o.address, message.PathGossip, o.gossip, reply)
	return reply, err
}

// countBytes makes a transport count what its connections carry.
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
