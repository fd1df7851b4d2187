package crowd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// sendTimeout bounds how long one caller of a crowd may wait to send or to connect.
const sendTimeout = 5 * time.Second

// assemble connects size callers to the address, each of which then sends its part. It
// returns when all have sent; the connections stay open until the test ends. A caller
// whose connection is refused or closed has ended.
func assemble(t testing.TB, address string, size int, send script) {
	t.Helper()
	dialer := net.Dialer{Timeout: sendTimeout, Control: smallReceiveBuffer}
	var sending sync.WaitGroup
	for caller := range size {
		// One after the other, as the kernel's queue of new connections is short.
		connection, err := dialer.Dial("tcp", address)
		if err != nil {
			continue
		}
		t.Cleanup(func() { _ = connection.Close() })
		_ = connection.SetWriteDeadline(time.Now().Add(sendTimeout))
		sending.Go(func() { send(caller, connection) })
	}
	sending.Wait()
}

// smallReceiveBuffer keeps the kernel from taking in large answers that nobody reads.
func smallReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
	})
}

// send writes the text and reports whether that was possible.
func send(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// requestHead returns the head of a legal request, without the empty line at its end.
func requestHead(method, path string, headers ...string) string {
	head := method + " " + path + " HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: a-1\r\nAuthorization: Bearer key\r\nDeadline-Ms: 20000\r\n"
	for _, header := range headers {
		head += header + "\r\n"
	}
	return head
}

// fill appends lines to the head as long as it stays legal with its last line.
func fill(head string, line func(i int) string) string {
	var filled strings.Builder
	filled.WriteString(head)
	for i := 0; ; i++ {
		next := line(i)
		if filled.Len()+len(next)+len("\r\n") > maxHeaderBytes {
			return filled.String()
		}
		filled.WriteString(next)
	}
}

// target is a program that a crowd calls.
type target struct {
	*program
	address string
	// inner is the address for other hosts and metrics, if the program has one.
	inner string
	// ordinary sends an ordinary request and reports whether it got its answer.
	ordinary func(address string) bool
}

// ordinaryTries is how often an ordinary caller tries, half a second apart.
const ordinaryTries = 40

// checkOrdinaryCaller checks that a caller with an ordinary request gets its answer.
func (t *target) checkOrdinaryCaller() {
	t.t.Helper()
	for range ordinaryTries {
		if t.ordinary(t.address) {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	t.t.Error("an ordinary caller got no answer")
}

// checkMetrics checks that the metrics can be read at the inner address.
func (t *target) checkMetrics() {
	t.t.Helper()
	for range ordinaryTries {
		if status, _, err := call(t.inner, "GET", "/metrics", "", nil); err == nil && status == http.StatusOK {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	t.t.Error("the metrics could not be read")
}

// checkCrowd runs a crowd against the target.
func checkCrowd(target *target, size int, send script) {
	target.t.Helper()
	assemble(target.t, target.address, size, send)
	target.checkOrdinaryCaller()
	target.checkBounds()
}

// call sends one request on a connection of its own.
func call(address, method, path, body string, header http.Header) (int, string, error) {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	for name, values := range header {
		r.Header[name] = values
	}
	r.Host = "x.example"
	r.Header.Set("Attempt-Id", fmt.Sprint("o-", time.Now().UnixNano()))
	r.Header.Set("Authorization", "Bearer key")
	r.Header.Set("Deadline-Ms", "4000")
	response, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}
