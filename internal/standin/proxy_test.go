package standin

import (
	"bufio"
	"errors"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"kingcupcourse/internal/standin/faultproxy"
	"kingcupcourse/internal/standin/ledger"
)

func startProxy(t *testing.T) *testFleet {
	t.Helper()
	// The ledger and the proxy are both configured with a port that is free now.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	return startFleet(t, Fleet{
		Ledgers: []ledger.Config{{Name: "ledger", Address: address}},
		Proxies: []faultproxy.Config{{Name: "proxy", Address: "127.0.0.1:0", Target: address}},
	})
}

func (f *testFleet) checkHealth() { f.t.Helper(); f.call(200, "GET", "proxy", "/healthz", "") }

func TestProxyForwardsAndRemovesClosedConnections(t *testing.T) {
	f := startProxy(t)
	f.checkHealth()
	names := f.process.Supervisor().Paths
	if !slices.Contains(names(), "proxy/copies/link-1-back") {
		t.Fatalf("children %v", names())
	}
	f.client.CloseIdleConnections()
	eventually(t, "the copy duties are removed", func() bool {
		return !slices.ContainsFunc(names(), func(n string) bool { return strings.HasPrefix(n, "proxy/copies/") })
	})
	if s := stats[faultproxy.Stats](f, "proxy"); s.Connections != 1 || s.Open != 0 || s.Bytes == 0 {
		t.Fatalf("stats %+v", s)
	}
}

func TestProxyDelays(t *testing.T) {
	f := startProxy(t)
	f.setFault("proxy", `{"delay_ms":30}`)
	started := time.Now()
	f.checkHealth()
	if elapsed := time.Since(started); elapsed < 60*time.Millisecond {
		t.Fatalf("the round trip took %v", elapsed)
	}
}

func TestProxyCutsOpenAndNewConnections(t *testing.T) {
	f := startProxy(t)
	open, err := net.Dial("tcp", f.process.Address("proxy"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = open.Close() }()
	eventually(t, "the link is open", func() bool { return stats[faultproxy.Stats](f, "proxy").Open == 1 })
	f.setFault("proxy", `{"cut":true}`)
	if _, err := open.Read(make([]byte, 1)); err == nil {
		t.Fatal("the open connection was not cut")
	}
	if _, err := f.try("GET", "proxy", "/healthz", ""); err == nil {
		t.Fatal("a new connection was not cut")
	}
	f.setFault("proxy", `{"cut":false}`)
	f.checkHealth()
}

func TestProxyBlackHoleSparesNewConnections(t *testing.T) {
	f := startProxy(t)
	f.checkHealth()
	f.setFault("proxy", `{"black_hole":true}`)
	f.expectNoResponse("GET", "proxy", "/healthz", "")
	f.checkHealth()
}

func TestProxyHalfCloseKeepsOtherDirectionOpen(t *testing.T) {
	f := startProxy(t)
	open, err := net.Dial("tcp", f.process.Address("proxy"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = open.Close() }()
	eventually(t, "the link is open", func() bool { return stats[faultproxy.Stats](f, "proxy").Open == 1 })
	f.setFault("proxy", `{"half_close":true}`)
	if _, err = bufio.NewReader(open).ReadByte(); !errors.Is(err, io.EOF) {
		t.Fatalf("got %v, want io.EOF", err)
	}
	if _, err = io.WriteString(open, "POST /v1/entries HTTP/1.1\r\nHost: x\r\nX-Request-Id: r\r\nContent-Length: 2\r\n\r\n{}"); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the request arrives", func() bool { return stats[ledger.Stats](f, "ledger").Runs["r"] == 1 })
}

func TestProxyRefusesConnections(t *testing.T) {
	f := startProxy(t)
	f.setFault("proxy", `{"refuse":true}`)
	if conn, err := net.Dial("tcp", f.process.Address("proxy")); err == nil {
		_ = conn.Close()
		t.Fatal("the connection was accepted")
	}
	f.setFault("proxy", `{"refuse":false}`)
	f.checkHealth()
}
