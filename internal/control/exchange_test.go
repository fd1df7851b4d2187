package control

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/httpclient"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
)

// TestSilentConnectionCausesNoSuspicion makes the open connection to a peer go
// silent. The call must succeed on a new connection.
func TestSilentConnectionCausesNoSuspicion(t *testing.T) {
	t.Parallel()
	var silentAddress atomic.Value // remote address of the silent connection
	silentAddress.Store("")
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body) // otherwise the server does not notice the caller disconnect
		if silentAddress.Load() == r.RemoteAddr {
			<-r.Context().Done()
			return
		}
		silentAddress.Store(r.RemoteAddr)
		codec.Write(w, message.Gossip{From: "peer"})
	}))
	defer server.Close()
	counters := newMetrics(nil)
	unpooled := newPeerHTTPClient(counters)
	unpooled.Transport.(*httpclient.Transport).DisableKeepAlives = true
	inbox := ring.New[membersMessage]("test", 2)
	s := &gossipSender{gossipClient: gossipClient{pooled: newPeerHTTPClient(counters), unpooled: unpooled, members: inbox, metrics: counters}}
	for range 2 {
		if err := s.call(t.Context(), outgoingGossip{address: server.Listener.Addr().String()}); err != nil {
			t.Fatal(err)
		}
		if got, _ := inbox.TryTake(); got == nil {
			t.Fatal("no message for the members duty")
		} else if _, ok := got.(gossipReply); !ok {
			t.Fatalf("got %#v, want a gossipReply", got)
		}
	}
	server.CloseClientConnections()
	closedAddress := server.Listener.Addr().String()
	server.Close()
	if err := s.call(t.Context(), outgoingGossip{address: closedAddress}); err != nil {
		t.Fatal(err)
	}
	if got, _ := inbox.TryTake(); got != (peerUnreachable{address: closedAddress}) {
		t.Fatalf("got %#v, want a peerUnreachable", got)
	}
}
