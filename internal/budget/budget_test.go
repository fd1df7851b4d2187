package budget

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	decision "kingcupcourse/internal/decision/budget"
	"kingcupcourse/internal/supervisor"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const stopGrace = 100 * time.Millisecond

// serveWith serves the handler with a budget until the test ends, and returns the address.
func serveWith(t *testing.T, limits decision.Limits, handler http.Handler) string {
	t.Helper()
	duty := New("test", limits, zap.NewNop())
	listener, err := supervisor.Listen("127.0.0.1:0", handler, stopGrace)
	if err != nil {
		t.Fatal(err)
	}
	listener.WrapConnections(duty.Accept)
	tree := supervisor.New(supervisor.Spec{Name: "test", Children: []supervisor.Child{
		{Name: "budget", Duty: duty}, {Name: "listener", Duty: listener}}}, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	ended := supervisor.Start(ctx, tree)
	t.Cleanup(func() { cancel(); _, _ = ended.Wait(context.Background()) })
	return listener.Address()
}

// echoLength answers with the length of the body, or 503 if there is no room for it.
var echoLength = Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	body, err := ReadBody(r.Context(), r.Body, r.ContentLength)
	if errors.Is(err, ErrNoRoom) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprint(w, len(body))
}))

func post(t *testing.T, address string, body io.Reader) (int, string) {
	t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	response, err := client.Post("http://"+address, "text/plain", body)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

func dial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

// readAll reads until the host closes the connection.
func readAll(t *testing.T, c net.Conn) string {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	text, err := io.ReadAll(c)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		t.Error("the connection stayed open")
	}
	return string(text)
}

// Bodies of each size must arrive whole, with a length and without.
func TestReadBody(t *testing.T) {
	address := serveWith(t, decision.Limits{Bytes: 64 << 20, Connections: 100}, echoLength)
	for _, size := range []int{0, 1, firstBodyBytes - 1, firstBodyBytes, firstBodyBytes + 1, 100_000, 3 << 20} {
		text := strings.Repeat("x", size)
		for name, body := range map[string]io.Reader{"length": strings.NewReader(text), "chunks": io.MultiReader(strings.NewReader(text))} {
			if status, got := post(t, address, body); status != http.StatusOK || got != fmt.Sprint(size) {
				t.Errorf("%s of %d bytes: got %d %s", name, size, status, got)
			}
		}
	}
}

// A body for which there is no room must be refused, and its room must be free again for
// the next.
func TestBodyWithoutRoomIsRefused(t *testing.T) {
	address := serveWith(t, decision.Limits{Bytes: 2 << 20, Connections: 100}, echoLength)
	for range 3 {
		if status, got := post(t, address, strings.NewReader(strings.Repeat("x", 4<<20))); status == http.StatusOK {
			t.Errorf("a body larger than the budget was taken: %s", got)
		}
		if status, got := post(t, address, strings.NewReader(strings.Repeat("x", 200_000))); status != http.StatusOK {
			t.Errorf("got %d %s", status, got)
		}
	}
}

// On a kept connection each request must find the room of the one before free again.
func TestKeptConnectionGivesItsRoomBack(t *testing.T) {
	address := serveWith(t, decision.Limits{Bytes: 2 << 20, Connections: 100}, echoLength)
	client := http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for range 20 {
		response, err := client.Post("http://"+address, "text/plain", strings.NewReader(strings.Repeat("x", 400_000)))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			t.Fatal(response.Status)
		}
	}
}

// A connection above the limit must get a refusal that promises that nothing has run,
// while all others wait for the host.
func TestConnectionAboveTheLimitIsRefused(t *testing.T) {
	const connections = 16
	started, release := make(chan struct{}, connections), make(chan struct{})
	address := serveWith(t, decision.Limits{Bytes: 64 << 20, Connections: connections}, Handler(http.HandlerFunc(
		func(w http.ResponseWriter, _ *http.Request) {
			started <- struct{}{}
			<-release
			w.WriteHeader(http.StatusNoContent)
		})))
	var open []net.Conn
	for range connections {
		open = append(open, dial(t, address, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))
	}
	for range connections {
		<-started
	}
	if got := readAll(t, dial(t, address, "")); got != refusalText {
		t.Errorf("got %q, want the refusal", got)
	}
	close(release)
	for _, c := range open {
		if got := readAll(t, c); !strings.HasPrefix(got, "HTTP/1.1 204 ") {
			t.Errorf("a request that had arrived got %q", got)
		}
	}
}

// The oldest connection that makes no progress must go for a later one.
func TestOldestConnectionGoes(t *testing.T) {
	const connections = 16
	address := serveWith(t, decision.Limits{Bytes: 64 << 20, Connections: connections}, echoLength)
	var open []net.Conn
	for range connections {
		open = append(open, dial(t, address, "GET / HTTP/1.1\r\nHost"))
	}
	time.Sleep(decision.MinStall)
	if status, got := post(t, address, strings.NewReader("hello")); status != http.StatusOK {
		t.Errorf("got %d %s", status, got)
	}
	if got := readAll(t, open[0]); got != "" {
		t.Errorf("the connection that was closed got %q", got)
	}
}

// A head for which there is no room must be refused before it is parsed.
func TestHeadWithoutRoomIsRefused(t *testing.T) {
	address := serveWith(t, decision.Limits{Bytes: 1 << 20, Connections: 100}, echoLength)
	c := dial(t, address, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 4000))
	if got := readAll(t, c); got != "" && got != refusalText {
		t.Errorf("got %q", got)
	}
	if status, got := post(t, address, strings.NewReader("hello")); status != http.StatusOK {
		t.Errorf("got %d %s", status, got)
	}
}

// A body that the handler has not read, and that does not come, must not hold its
// connection for good.
func TestUnreadBodyEndsTheConnection(t *testing.T) {
	refuseAll := Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) }))
	address := serveWith(t, decision.Limits{Bytes: 64 << 20, Connections: 100}, refuseAll)
	c := dial(t, address, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n")
	if got := readAll(t, c); !strings.HasPrefix(got, "HTTP/1.1 401 ") {
		t.Errorf("got %q", got)
	}
}
