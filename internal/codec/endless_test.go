package codec

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"kingcupcourse/internal/message"
)

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// startEndlessServer answers each connection with head, and then with fill until the
// client closes it.
func startEndlessServer(t *testing.T, head, fill string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() {
				defer func() { _ = c.Close() }()
				_, _ = c.Read(make([]byte, 4096))
				_, err := io.WriteString(c, head)
				for block := []byte(strings.Repeat(fill, 1+4096/len(fill))); err == nil; {
					_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
					_, err = c.Write(block)
				}
			})
		}
	})
	t.Cleanup(func() { _ = listener.Close(); serving.Wait() })
	return listener.Addr().String()
}

// Guards against a process that keeps what another one sends without end: the calls to
// endpoints, hosts and the platform end at a limit, in the header as in the body.
func TestEndlessAnswerEndsTheCall(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	const buffered = 64 << 10 // read ahead of the limit
	for name, answer := range map[string]struct {
		head, fill string
		limit      int64
	}{
		"header lines":    {ok, "X-Fill: aaaaaaaa\r\n", maxHeaderBytes},
		"one header line": {ok + "X-Fill: ", "a", maxHeaderBytes},
		"no HTTP":         {"", "garbage ", maxHeaderBytes},
		"informational":   {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", maxHeaderBytes},
		"body":            {ok + "\r\n", "garbage ", MaxMessageBytes},
		"error's body":    {"HTTP/1.1 500 No\r\n\r\n", "garbage ", maxErrorBodyBytes},
		"chunk extension": {ok + "Transfer-Encoding: chunked\r\n\r\n5;", "a", maxHeaderBytes},
		"trailer":         {ok + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n", "X-Fill: aaaaaaaa\r\n", maxHeaderBytes},
	} {
		t.Run(name, func(t *testing.T) {
			address := startEndlessServer(t, answer.head, answer.fill)
			var read atomic.Int64
			transport := NewTransport(0)
			dial := transport.DialContext
			transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := dial(ctx, network, address)
				return countingConn{c, &read}, err
			}
			ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
			defer cancel()
			err := Call(ctx, &http.Client{Transport: transport}, address, "/x", &message.Gossip{}, &message.Gossip{})
			var callErr *CallError
			if !errors.As(err, &callErr) || ctx.Err() != nil {
				t.Errorf("error %v, want a CallError before the timeout", err)
			}
			if got := read.Load(); got > answer.limit+buffered {
				t.Errorf("%d bytes were read, want at most %d", got, answer.limit+buffered)
			}
		})
	}
}
