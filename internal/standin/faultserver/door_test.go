package faultserver

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

func TestSilentConnectionIgnoresReadDeadline(t *testing.T) {
	near, far := net.Pipe()
	var silentBelow atomic.Int64
	silentBelow.Store(2)
	connection := &silenceableConn{Conn: near, number: 1, silentBelow: &silentBelow}
	if err := connection.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, err := connection.Write([]byte("swallowed")); n != 9 || err != nil {
		t.Fatalf("got %d, %v", n, err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := connection.Read(make([]byte, 8))
		ended <- err
	}()
	if _, err := far.Write([]byte("unseen")); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		t.Fatalf("the read ended early: %v", err)
	case <-time.After(20 * time.Millisecond):
	}
	_ = far.Close()
	if err := <-ended; !errors.Is(err, io.EOF) {
		t.Fatalf("got %v, want the end", err)
	}
}
