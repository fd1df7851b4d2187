package httpclient

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// serve runs a server that hands each connection to handle with the first request on it, and
// closes it afterwards.
func serve(t *testing.T, handle func(net.Conn, *http.Request)) (url string) {
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
			serving.Go(func() {
				defer func() { _ = connection.Close() }()
				if request, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
					handle(connection, request)
				}
			})
		}
	})
	t.Cleanup(func() { _ = listener.Close(); serving.Wait() })
	return "http://" + listener.Addr().String()
}

// answerWith reads the request and answers with the bytes.
func answerWith(answer string) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, answer)
	}
}

// fetch sends a request with the body and returns the whole answer.
func fetch(t *testing.T, url, body string) (int, string, error) {
	t.Helper()
	return fetchFrom(t, url, strings.NewReader(body))
}

// fetchFrom is like fetch with a body that is read from a source.
func fetchFrom(t *testing.T, url string, source io.Reader) (int, string, error) {
	t.Helper()
	transport := &Transport{&http.Transport{DialContext: DialContext(&net.Dialer{}), DisableKeepAlives: true}}
	client := &http.Client{Transport: transport, Timeout: 5 * time.Second}
	response, err := client.Post(url, "text/plain", source)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// Guards against malformed answers that net/http accepts.
func TestMalformedAnswersAreErrors(t *testing.T) {
	const ok, end = "HTTP/1.1 200 OK\r\n", "Content-Length: 4\r\n\r\nbody"
	for name, answer := range map[string]string{
		"status 000":                  "HTTP/1.1 000 X\r\n" + end,
		"status 099":                  "HTTP/1.1 099 X\r\n" + end,
		"status 600":                  "HTTP/1.1 600 X\r\n" + end,
		"status 999":                  "HTTP/1.1 999 X\r\n" + end,
		"switching protocols":         "HTTP/1.1 101 X\r\n\r\n",
		"blank in a name":             ok + "Bad Name: x\r\n" + end,
		"blank after a name":          ok + "Content-Length : 2\r\n\r\nbody",
		"control byte in a name":      ok + "Bad\x01Name: x\r\n" + end,
		"no name":                     ok + ": x\r\n" + end,
		"name of an informational":    "HTTP/1.1 103 X\r\nBad Name: x\r\n\r\n" + ok + end,
		"name of a trailer's field":   ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nBad Name: x\r\n\r\n",
		"name of a field of an error": "HTTP/1.1 503 X\r\nBad Name: x\r\n" + end,
	} {
		url := serve(t, answerWith(answer))
		if status, body, err := fetch(t, url, ""); err == nil {
			t.Errorf("%s: got status %d and %q, want an error", name, status, body)
		}
	}
}

func TestSoundAnswersAreNoErrors(t *testing.T) {
	for name, answer := range map[string]string{
		"length":        "HTTP/1.1 200 OK\r\nX!#$%&'*+-.^_`|~9: x\r\nContent-Length: 4\r\n\r\nbody",
		"chunks":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nTrailer-Field: x\r\n\r\n",
		"no length":     "HTTP/1.1 200 OK\r\n\r\nbody",
		"informational": "HTTP/1.1 103 X\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	} {
		url := serve(t, answerWith(answer))
		if status, body, err := fetch(t, url, "x"); err != nil || status != http.StatusOK || body != "body" {
			t.Errorf("%s: got status %d, %q and %v", name, status, body, err)
		}
	}
}

// Guards against a part of an answer without a length that is taken for the whole: the
// server resets the connection while the request is being written, and the writer, not the
// reader, gets the error.
func TestResetDuringAnUploadIsNoEndOfAnAnswer(t *testing.T) {
	upload := strings.Repeat("u", 8<<20)
	url := serve(t, func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(20 * time.Millisecond) // lets the upload fill the buffers
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	for range 20 {
		if status, body, err := fetch(t, url, upload); err == nil {
			t.Fatalf("got status %d and %q, want an error", status, body)
		}
	}
}

// Like TestResetDuringAnUploadIsNoEndOfAnAnswer, with a connection that ends between two
// writes of the upload.
func TestEndBeforeTheUploadIsNoEndOfAnAnswer(t *testing.T) {
	url := serve(t, func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart") })
	for range 20 {
		if status, body, err := fetchFrom(t, url, &slowReader{strings.NewReader("ab")}); err == nil {
			t.Fatalf("got status %d and %q, want an error", status, body)
		}
	}
}

// slowReader reads a byte every 20 ms.
type slowReader struct{ io.Reader }

func (r *slowReader) Read(p []byte) (int, error) {
	time.Sleep(20 * time.Millisecond)
	return r.Reader.Read(p[:1])
}

// A request that net/http sends again on a new connection is whole.
func TestRequestSentAgainIsWhole(t *testing.T) {
	var connections atomic.Int32
	url := serve(t, func(c net.Conn, r *http.Request) {
		if connections.Add(1) == 1 { // it ends before the second request
			answerWith("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")(c, r)
			return
		}
		answerWith("HTTP/1.1 200 OK\r\n\r\nbody")(c, r)
	})
	client := &http.Client{Transport: &Transport{&http.Transport{DialContext: DialContext(&net.Dialer{})}}}
	defer client.CloseIdleConnections()
	for i := range 2 {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, url, strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Idempotency-Key", "k") // lets net/http send it again
		response, err := client.Do(request)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		text, err := io.ReadAll(response.Body)
		if _ = response.Body.Close(); err != nil || string(text) != "body" {
			t.Errorf("request %d: got %q and %v", i, text, err)
		}
	}
}

// Guards against an end of the connection that is seen between the end of a write and its
// report.
func TestEndDuringAWrite(t *testing.T) {
	for name, tt := range map[string]struct {
		write func(c *Conn)
		want  error
	}{
		"no write":      {func(*Conn) {}, io.EOF},
		"good write":    {func(c *Conn) { _, _ = c.Write([]byte("x")) }, io.EOF},
		"failed write":  {func(c *Conn) { _, _ = c.Write(nil) }, ErrReset},
		"blocked write": {func(c *Conn) { c.writing.Add(1) }, ErrReset},
		"write that is about to end": {func(c *Conn) {
			c.writing.Add(1)
			time.AfterFunc(writeGrace/5, func() { c.writing.Add(-1); _, _ = c.Write([]byte("x")) })
		}, io.EOF},
		"write that is about to fail": {func(c *Conn) {
			c.writing.Add(1)
			time.AfterFunc(writeGrace/5, func() { c.writing.Add(-1); _, _ = c.Write(nil) })
		}, ErrReset},
	} {
		c := &Conn{Conn: endedConn{}}
		tt.write(c)
		if _, err := c.Read(nil); !errors.Is(err, tt.want) || (tt.want == io.EOF) == errors.Is(err, ErrReset) {
			t.Errorf("%s: a read fails with %v, want %v", name, err, tt.want)
		}
	}
}

// endedConn is a connection that the peer has ended. An empty write fails.
type endedConn struct{ net.Conn }

func (endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (endedConn) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, errors.New("reset")
	}
	return len(p), nil
}
