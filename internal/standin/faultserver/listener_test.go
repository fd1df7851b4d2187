package faultserver

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// A silenced connection must stay open past the read deadlines that the HTTP
// server sets, and must not deliver what the peer sends.
func TestSilentConnectionIgnoresReadDeadline(t *testing.T) {
	near, far := net.Pipe()
	var silentBelow atomic.Int64
	silentBelow.Store(2)
	conn := &silenceableConn{Conn: near, number: 1, silentBelow: &silentBelow}
	if err := conn.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, err := conn.Write([]byte("swallowed")); n != 9 || err != nil {
		t.Fatalf("got %d, %v", n, err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, 8))
		ended <- err
	}()
	if _, err := far.Write([]byte("unseen")); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		t.Fatalf("Read returned before the connection ended: %v", err)
	case <-time.After(20 * time.Millisecond):
	}
	_ = far.Close()
	if err := <-ended; !errors.Is(err, io.EOF) {
		t.Fatalf("got %v, want io.EOF", err)
	}
}
