package callers

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/entry/admission"
	"kingcupcourse/internal/message"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// droppingServer answers health checks and keeps their connections open. It
// reads any other request, counts it and closes the connection without a
// response, like an endpoint that dies.
func droppingServer(t *testing.T) (address string, arrivals *atomic.Int32) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	arrivals = new(atomic.Int32)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go dropRequests(connection, arrivals)
		}
	}()
	return listener.Addr().String(), arrivals
}

func dropRequests(connection net.Conn, arrivals *atomic.Int32) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path != "/healthz" {
			arrivals.Add(1)
			return
		}
		_, _ = connection.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	}
}

func newTestCall(t *testing.T, method, body string, runOnce bool) *call {
	r := httptest.NewRequestWithContext(t.Context(), method, "/v1/transfers", nil)
	r.Header.Set("Idempotency-Key", "019470e0-0000-7000-8000-000000000000")
	r.Header.Set("X-Idempotency-Key", "same")
	handler := NewHandler(Config{Log: zap.NewNop(), PublishFact: func(message.Fact) {}})
	t.Cleanup(handler.Close)
	c := newCall(handler, httptest.NewRecorder(), r)
	c.body = []byte(body)
	c.ticket = admission.Ticket{}
	c.ticket.RunOnce = runOnce
	c.ticket.Kind = core.KindService
	c.sink = newSink(c)
	return c
}

// openIdleConnection leaves an idle pooled connection to the address.
func openIdleConnection(t *testing.T, h *Handler, address string) {
	request, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/healthz", nil)
	response, err := h.transports.pooled.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
}

// net/http retries a request that fails on a reused connection if it is
// idempotent by method or header and has no body or one that can be rewound.
// No caller's request may be sent twice this way.
func TestTransportDoesNotRetryCallerRequests(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodGet} {
		for _, body := range []string{"", `{"hours":1}`} {
			for _, runOnce := range []bool{true, false} {
				address, arrivals := droppingServer(t)
				c := newTestCall(t, method, body, runOnce)
				for range 3 {
					openIdleConnection(t, c.h, address)
				}
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				end := c.dispatch(ctx, core.Grant{Endpoint: "e", Address: address})
				cancel()
				if got := arrivals.Load(); got != 1 || end.result != core.ResultLost {
					t.Errorf("%s %q run once %t: %d arrivals, result %s", method, body, runOnce, got, end.result)
				}
			}
		}
	}
}

// Control for the test above: the same server receives a request twice when it
// is sent the ordinary way.
func TestTransportRetriesOrdinaryRequests(t *testing.T) {
	address, arrivals := droppingServer(t)
	c := newTestCall(t, http.MethodPost, "", false)
	openIdleConnection(t, c.h, address)
	request, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/v1/transfers", http.NoBody)
	request.Header.Set("Idempotency-Key", "k")
	if response, err := c.h.transports.pooled.RoundTrip(request); err == nil {
		_ = response.Body.Close()
		t.Fatal("the request got a response")
	}
	if arrivals.Load() != 2 {
		t.Fatalf("%d arrivals, want 2: the server does not cause a retry", arrivals.Load())
	}
}

func TestRefusedConnectionIsNotDispatched(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	c := newTestCall(t, http.MethodPost, "{}", true)
	end := c.dispatch(t.Context(), core.Grant{Endpoint: "e", Address: address})
	if end.result != core.ResultNotDispatched || c.mayHaveRun {
		t.Fatalf("%+v", end)
	}
}
