package callers

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"kingcupcourse/internal/core"
)

// Guards against passing on what an endpoint in trouble sends: a malformed head, or a part
// of an answer that ends with a reset while the request is being written.
func TestAnswerOfATroubledEndpointIsNotPassedOn(t *testing.T) {
	const ok, end = "HTTP/1.1 200 OK\r\n", "Content-Length: 2\r\n\r\n{}"
	upload := strings.Repeat(" ", 8<<20)
	for name, trouble := range map[string]struct{ answer, body string }{
		"status 000":             {"HTTP/1.1 000 X\r\n" + end, "{}"},
		"status 999":             {"HTTP/1.1 999 X\r\n" + end, "{}"},
		"blank in a field name":  {ok + "Bad Name: x\r\n" + end, "{}"},
		"blank after a name":     {ok + "Content-Length : 1\r\n\r\n{}", "{}"},
		"reset under the upload": {ok + "\r\n{}", upload},
	} {
		t.Run(name, func(t *testing.T) {
			address := startTroubledServer(t, trouble.answer)
			for range 10 {
				end := newTestCall(t, http.MethodPost, trouble.body, true).dispatch(t.Context(), core.Grant{Endpoint: "e", Address: address})
				if (end.result != core.ResultLost && end.result != core.ResultFailed) || end.response != nil {
					t.Fatalf("result %s, response %+v, want a lost or failed attempt", end.result, end.response)
				}
			}
		})
	}
}

// startTroubledServer runs a server that reads the beginning of a request, answers and
// resets the connection.
func startTroubledServer(t *testing.T, answer string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = connection.Read(make([]byte, 4<<10))
			_, _ = io.WriteString(connection, answer)
			time.Sleep(20 * time.Millisecond) // lets the caller read the answer, and fill the buffers
			_ = connection.(*net.TCPConn).SetLinger(0)
			_ = connection.Close()
		}
	})
	t.Cleanup(func() { _ = listener.Close(); serving.Wait() })
	return listener.Addr().String()
}
