package callers

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"kingcupcourse/internal/core"
)

// endlessServer answers a request with head and then fill until the caller closes the
// connection. It counts the bytes written.
func endlessServer(t *testing.T, head, fill string) (address string, written *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	written = new(atomic.Int64)
	block := bytes.Repeat([]byte(fill), 1+4096/len(fill))
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() {
				defer func() { _ = connection.Close() }()
				_ = connection.SetDeadline(time.Now().Add(10 * time.Second))
				_, _ = connection.Read(make([]byte, 4096))
				_, err := io.WriteString(connection, head)
				for err == nil {
					var n int
					n, err = connection.Write(block)
					written.Add(int64(n))
				}
			})
		}
	})
	t.Cleanup(func() { _ = listener.Close(); serving.Wait() })
	return listener.Addr().String(), written
}

// Guards against an entry host that keeps what a faulty endpoint sends without end, in
// a header or a body: the attempt ends at a limit, and the connection with it.
func TestEndlessAnswerEndsTheAttempt(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	const inBuffers = 16 << 20 // written, and not read by the host
	for name, answer := range map[string]struct {
		head, fill string
		limit      int64
	}{
		"header lines":    {ok, "X-Fill: aaaaaaaa\r\n", maxAnswerHeaderBytes},
		"one header line": {ok + "X-Fill: ", "a", maxAnswerHeaderBytes},
		"informational":   {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", maxAnswerHeaderBytes},
		"body":            {ok + "\r\n", "garbage ", maxAnswerBytes},
		"chunk extension": {ok + "Transfer-Encoding: chunked\r\n\r\n5;", "a", maxAnswerBytes},
		"trailer":         {ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n", "X-Fill: aaaaaaaa\r\n", maxAnswerBytes},
	} {
		t.Run(name, func(t *testing.T) {
			address, written := endlessServer(t, answer.head, answer.fill)
			c := newTestCall(t, http.MethodPost, "{}", true)
			ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
			defer cancel()
			end := c.dispatch(ctx, core.Grant{Endpoint: "e", Address: address})
			if ctx.Err() != nil || (end.result != core.ResultLost && end.result != core.ResultFailed) || end.response != nil {
				t.Errorf("result %s, context error %v, want a lost or failed attempt before the timeout", end.result, ctx.Err())
			}
			if got := written.Load(); got > answer.limit+inBuffers {
				t.Errorf("the endpoint wrote %d bytes, want at most %d", got, answer.limit+inBuffers)
			}
		})
	}
}
