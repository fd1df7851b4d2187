package ring

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestTryPutRefusesWhenFull(t *testing.T) {
	r := New[int]("test", 2)
	for i := range 2 {
		if err := r.TryPut(i); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.TryPut(3); !errors.Is(err, ErrFull) {
		t.Fatalf("got %v, want ErrFull", err)
	}
	if got, _ := r.TryTake(); got != 0 {
		t.Fatalf("got message %d, want the oldest one, 0", got)
	}
}

func TestPutWaitsForRoom(t *testing.T) {
	r := New[int]("test", 1)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if err := r.Put(ctx, 1); err != nil {
		t.Fatal(err)
	}
	if err := r.Put(ctx, 2); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("got %v, want the context's error", err)
	}
	if r.Len() != 1 {
		t.Fatalf("the message was added despite the error")
	}
}

func TestTakeUntilTimesOut(t *testing.T) {
	r := New[int]("test", 1)
	if _, err := r.TakeUntil(t.Context(), time.Now().Add(time.Millisecond)); !errors.Is(err, ErrTimeout) {
		t.Fatalf("got %v, want ErrTimeout", err)
	}
}

type request struct {
	Reply[int]
	crash bool
}

func TestLoopAbandonsMessageOnPanic(t *testing.T) {
	inbox := New[request]("test", 1)
	q := request{Reply: NewReply[int](), crash: true}
	if err := inbox.TryPut(q); err != nil {
		t.Fatal(err)
	}
	func() {
		defer func() { _ = recover() }()
		_ = Loop(t.Context(), inbox, func(request) error { panic("planted") })
	}()
	if _, err := q.Wait(t.Context()); !errors.Is(err, ErrAbandoned) {
		t.Fatalf("got %v, want ErrAbandoned", err)
	}
}

func TestReplyKeepsFirstResult(t *testing.T) {
	r := NewReply[int]()
	r.Send(1)
	r.Send(2)
	r.Abandon(ErrAbandoned)
	if got, err := r.Wait(t.Context()); got != 1 || err != nil {
		t.Fatalf("got %d, %v; want the first reply, 1", got, err)
	}
}

func TestPauseReturnsContextError(t *testing.T) {
	if err := Pause(t.Context(), time.Millisecond); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	if err := Pause(ctx, time.Hour); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("got %v, want the context's error", err)
	}
}
