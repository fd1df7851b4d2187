package supervisor

import (
	"context"
	"sync/atomic"
	"testing"
	"time"
)

// slowCloser is a resource whose Close takes a while.
type slowCloser struct {
	begun  chan struct{}
	closed atomic.Bool
}

func (s *slowCloser) Close() error {
	close(s.begun)
	time.Sleep(20 * time.Millisecond)
	s.closed.Store(true)
	return nil
}

// Guards against a port that still accepts connections after the supervisor has
// stopped its duty: the duty returned before the close of its listener was complete.
func TestCloseOnDoneReleaseWaitsForClose(t *testing.T) {
	resource := &slowCloser{begun: make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	release := CloseOnDone(ctx, resource)
	cancel()
	<-resource.begun
	release()
	if !resource.closed.Load() {
		t.Error("the duty returned before its resource was closed")
	}
}

// Guards against a duty that closes its resource although it returned before its
// context ended.
func TestCloseOnDoneReleaseCancelsClose(t *testing.T) {
	resource := &slowCloser{begun: make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	CloseOnDone(ctx, resource)()
	cancel()
	select {
	case <-resource.begun:
		t.Error("the resource was closed after the release")
	case <-time.After(20 * time.Millisecond):
	}
}
