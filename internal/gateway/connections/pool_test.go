package connections

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/decision/fleet"
	"kingcupcourse/internal/ring"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is a running pool and one endpoint, which answers each request on a
// connection by serve.
type fixture struct {
	t        *testing.T
	pool     *Pool
	endpoint catalog.Endpoint
	accepted chan net.Conn
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fx := &fixture{t: t, accepted: make(chan net.Conn, 64)}
	fx.endpoint = catalog.Endpoint{Endpoint: core.Endpoint{Name: "i-1", Address: listener.Addr().String()}, Service: "s"}
	accepting := make(chan struct{})
	go func() {
		defer close(accepting)
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			fx.accepted <- c
		}
	}()
	hosts := ring.NewLatest[*fleet.Ring]()
	hosts.Publish(fleet.NewRing([]fleet.Host{{Name: "a"}, {Name: "b"}}))
	snapshots := ring.NewLatest[*catalog.Snapshot]()
	snapshots.Publish(&catalog.Snapshot{Configuration: &catalog.Configuration{Services: map[string]catalog.Service{"s": {MaxConnections: 8}}}})
	fx.pool = New(Config{Snapshots: snapshots, Hosts: hosts, Log: zap.NewNop()})
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { defer close(stopped); _ = fx.pool.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-stopped; _ = listener.Close(); <-accepting })
	return fx
}

const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok"

// use sends a request on a lease and returns the endpoint's side of its connection.
func (fx *fixture) use(lease *Lease, at net.Conn) net.Conn {
	fx.t.Helper()
	request, err := http.NewRequestWithContext(fx.t.Context(), http.MethodPost, "http://"+fx.endpoint.Address+"/", http.NoBody)
	if err != nil {
		fx.t.Fatal(err)
	}
	peer := make(chan net.Conn, 1)
	go func() {
		if at == nil {
			at = <-fx.accepted
		}
		_, _ = at.Read(make([]byte, 4096))
		_, _ = io.WriteString(at, answer)
		peer <- at
	}()
	response, err := lease.RoundTrip(request)
	if err != nil {
		fx.t.Fatal(err)
	}
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != "ok" {
		fx.t.Errorf("%q %v", body, err)
	}
	_ = response.Body.Close()
	return <-peer
}

func (fx *fixture) take() *Lease {
	return fx.pool.Take(fx.t.Context(), Request{Endpoint: fx.endpoint})
}

// open returns the endpoint's side of a connection that is idle in the pool.
func (fx *fixture) open() net.Conn {
	lease := fx.take()
	peer := fx.use(lease, nil)
	lease.Close(fx.t.Context(), Result{Answered: true, KeepAlive: 5 * time.Second})
	return peer
}

func TestIdleConnectionIsReused(t *testing.T) {
	fx := newFixture(t)
	peer := fx.open()
	lease := fx.take()
	fx.use(lease, peer)
	if !lease.Reused() || !lease.MayHaveWritten() {
		t.Error("a new connection was opened")
	}
	lease.Close(t.Context(), Result{Answered: true})
}

// What happens to a connection while it is idle, or was odd on it before, ends it.
func TestDoubtfulConnectionIsNotReused(t *testing.T) {
	for name, spoil := range map[string]func(fx *fixture, peer net.Conn){
		"closed":         func(_ *fixture, peer net.Conn) { _ = peer.Close() },
		"reset":          func(_ *fixture, peer net.Conn) { _ = peer.(*net.TCPConn).SetLinger(0); _ = peer.Close() },
		"unasked answer": func(_ *fixture, peer net.Conn) { _, _ = io.WriteString(peer, answer) },
		"restarted":      func(fx *fixture, _ net.Conn) { fx.endpoint.StartedAt = time.Unix(5, 0) },
		"fault of another": func(fx *fixture, _ net.Conn) {
			(&Lease{pool: fx.pool, request: Request{Endpoint: fx.endpoint}}).Close(fx.t.Context(), Result{Fault: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			peer := fx.open()
			spoil(fx, peer)
			time.Sleep(5 * time.Millisecond) // until it has arrived
			lease := fx.take()
			fx.use(lease, nil)
			if lease.Reused() {
				t.Error("the connection was used again")
			}
			lease.Close(t.Context(), Result{})
		})
	}
}

// The endpoint takes 8 connections of 2 hosts, so each host keeps 2 of them idle.
func TestIdleConnectionsAreBounded(t *testing.T) {
	fx := newFixture(t)
	var leases []*Lease
	var peers []net.Conn
	for range 5 {
		lease := fx.take()
		leases, peers = append(leases, lease), append(peers, fx.use(lease, nil))
	}
	for _, lease := range leases {
		lease.Close(t.Context(), Result{Answered: true, KeepAlive: 5 * time.Second})
	}
	fx.take() // the pool has handled the messages before it
	kept := 0
	for _, peer := range peers {
		_ = peer.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if _, err := peer.Read(make([]byte, 1)); err != io.EOF {
			kept++
		}
	}
	if kept != 2 {
		t.Errorf("%d connections are kept", kept)
	}
}
