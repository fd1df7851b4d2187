package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/supervisor"
)

const (
	// leaveTimeout bounds telling the other processes.
	leaveTimeout = time.Second
	// leaveNotice is how long requests are still let in after the process
	// is no longer ready, so that the balancer sees it first.
	leaveNotice = time.Second
)

// departure is the duty that begins the drain. It is the last child, and so
// the first to be stopped.
type departure struct {
	control Control
	flag    atomic.Bool
}

// begun tells whether the process drains.
func (d *departure) begun() bool { return d.flag.Load() }

// Serve implements supervisor.Duty.
func (d *departure) Serve(ctx context.Context) error {
	<-ctx.Done()
	if errors.Is(context.Cause(ctx), supervisor.ErrKilled) {
		return ctx.Err()
	}
	d.flag.Store(true)
	rest := context.WithoutCancel(ctx)
	telling, cancel := context.WithTimeout(rest, leaveTimeout)
	defer cancel()
	_ = d.control.Leave(telling) // the members will miss its heartbeats
	return ring.Pause(rest, leaveNotice)
}
