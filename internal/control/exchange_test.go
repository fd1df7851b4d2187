package control

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
)

// TestSilentConnectionCausesNoSuspicion makes the open connection to a peer go
// silent: the call must be answered over a new one.
func TestSilentConnectionCausesNoSuspicion(t *testing.T) {
	t.Parallel()
	var silent atomic.Value // the remote address of the silent connection
	silent.Store("")
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body) // else the server would not see the caller go
		if silent.Load() == r.RemoteAddr {
			<-r.Context().Done()
			return
		}
		silent.Store(r.RemoteAddr)
		codec.Write(w, message.Gossip{From: "peer"})
	}))
	defer server.Close()
	counters := newMetrics(nil)
	fresh := newPeerHTTPClient(counters)
	fresh.Transport.(*http.Transport).DisableKeepAlives = true
	inbox := ring.New[membersMessage]("test", 2)
	e := &gossipSender{gossipClient: gossipClient{pooled: newPeerHTTPClient(counters), unpooled: fresh, members: inbox, metrics: counters}}
	for range 2 {
		if err := e.call(t.Context(), outgoingGossip{address: server.Listener.Addr().String()}); err != nil {
			t.Fatal(err)
		}
		if got, _ := inbox.TryTake(); got == nil {
			t.Fatal("no event")
		} else if _, ok := got.(gossipReply); !ok {
			t.Fatalf("got %#v, want an answer", got)
		}
	}
	server.CloseClientConnections()
	dead := server.Listener.Addr().String()
	server.Close()
	if err := e.call(t.Context(), outgoingGossip{address: dead}); err != nil {
		t.Fatal(err)
	}
	if got, _ := inbox.TryTake(); got != (peerUnreachable{address: dead}) {
		t.Fatalf("got %#v, want unreached", got)
	}
}
