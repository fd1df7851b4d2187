package codec

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"

	"kingcupcourse/internal/httpclient"
)

// Guards calls between processes, and those to the store and to endpoints' reports, against
// answers with malformed heads.
func TestCallFailsOnMalformedHead(t *testing.T) {
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
			_, _ = connection.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}"))
			_ = connection.Close()
		}
	})
	t.Cleanup(func() { _ = listener.Close(); serving.Wait() })
	client := &http.Client{Transport: NewTransport(0)}
	var reply struct{}
	if err := Call(t.Context(), client, listener.Addr().String(), "/x", struct{}{}, &reply); !errors.Is(err, httpclient.ErrMalformed) {
		t.Errorf("got %v, want %v", err, httpclient.ErrMalformed)
	}
}
