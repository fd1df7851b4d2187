package placement

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/core"
)

// Guards against attempts that stay counted, and are listed to the coordinators,
// for as long as the host lives: the caller goes while its request is placed, so
// that the attempt is never made and never ends.
func TestAttemptOfGoneCallerIsNotCounted(t *testing.T) {
	t.Parallel()
	d := newDuty(2)
	serving, stop := context.WithCancel(t.Context())
	served := make(chan struct{})
	go func() { defer close(served); _ = d.Serve(serving) }()
	client := NewClient(d, zap.NewNop())
	for id := range 200 {
		ctx, leave := context.WithCancel(t.Context())
		go leave()
		if placed := client.Place(ctx, newRequest(id, 1000)); placed.Refusal == nil {
			ended := Update{Attempt: newRequest(id, 1000).Attempt, Result: core.ResultCancelled}
			if err := d.inbox.Put(t.Context(), ApplyUpdates{Updates: Updates{Host: "h", Updates: []Update{ended}}}); err != nil {
				t.Fatal(err)
			}
		}
	}
	for d.inbox.Len() > 0 { // a duty that is stopped leaves what is in its ring
		time.Sleep(time.Millisecond)
	}
	stop()
	<-served
	if d.attempts.Len() != 0 || len(d.requests) != 0 {
		t.Errorf("%d attempts counted and %d requests kept of callers that have gone, want none", d.attempts.Len(), len(d.requests))
	}
}
