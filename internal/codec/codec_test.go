package codec

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
)

func startServer(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestCallRoundTrip(t *testing.T) {
	address := startServer(t, Handle(func(_ context.Context, g *message.Gossip) (*message.Gossip, error) {
		return &message.Gossip{From: "reply to " + g.From}, nil
	}))
	var reply message.Gossip
	if err := Call(t.Context(), http.DefaultClient, address, message.PathGossip, message.Gossip{From: "a"}, &reply); err != nil {
		t.Fatal(err)
	}
	if reply.From != "reply to a" {
		t.Fatalf("got %q", reply.From)
	}
}

func TestCallErrors(t *testing.T) {
	full := startServer(t, Handle(func(context.Context, *message.Gossip) (*message.Gossip, error) {
		return nil, ring.ErrFull
	}))
	var callErr *CallError
	err := Call(t.Context(), http.DefaultClient, full, "/", message.Gossip{}, &message.Gossip{})
	if !errors.As(err, &callErr) || callErr.Status != http.StatusServiceUnavailable {
		t.Fatalf("got %v, want status 503", err)
	}
	err = Call(t.Context(), http.DefaultClient, "127.0.0.1:1", "/", message.Gossip{}, &message.Gossip{})
	if !errors.As(err, &callErr) || callErr.Status != 0 || callErr.Cause == nil {
		t.Fatalf("got %v, want a transport failure", err)
	}
}

func TestDecodeIsStrict(t *testing.T) {
	var g message.Gossip
	if err := Decode(strings.NewReader(`{"from":"abcdef"}`), 5, &g); !errors.Is(err, ErrTooLarge) {
		t.Errorf("got %v, want ErrTooLarge", err)
	}
	for _, text := range []string{``, `{`, `[]`, `{"from":1}`, `{} {}`} {
		if err := Decode(strings.NewReader(text), 100, &g); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: got %v, want ErrMalformed", text, err)
		}
	}
	if err := Decode(strings.NewReader(`{"from":"a","new_field":1}`), 100, &g); err != nil {
		t.Errorf("unknown field: %v", err)
	}
}

func FuzzDecodeMessages(f *testing.F) {
	f.Add(`{"from":"a","digest":[{"kind":"member","key":"h/entry","rank":1}],"facts":[{"kind":"poison","rank":2,"value":{}}]}`)
	f.Add(`{"request_id":"r","tier":1,"pool":"p","deadline_unix_ms":1}`)
	f.Add(`{"version":1,"manifest":{}}`)
	f.Fuzz(func(t *testing.T, text string) {
		for _, target := range []any{new(message.Gossip), new(message.GrantRequest), new(message.GrantReply),
			new(message.OutcomeReport), new(message.ManifestVersion)} {
			if Decode(strings.NewReader(text), MaxMessageBytes, target) != nil {
				continue
			}
			if _, err := Encode(target); err != nil && !errors.Is(err, ErrTooLarge) {
				t.Fatalf("%T does not encode again: %v", target, err)
			}
		}
	})
}
