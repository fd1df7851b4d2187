package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"kingcupcourse/internal/decision/backoff"
	"kingcupcourse/internal/ring"
)

const (
	// maxWatchBackoff bounds the wait after failed calls. A host that is back in
	// touch with the platform must learn of changes within the bound for a
	// configuration, two seconds.
	maxWatchBackoff = 400 * time.Millisecond
	// idleWatchPause is the least time between two calls that brought nothing.
	idleWatchPause = 20 * time.Millisecond
)

// Update is what a follower learned by one call.
type Update struct {
	Prefix string
	// Objects are the changed objects, or all of them if Whole.
	Objects []Object
	Full    bool
	// Err is the failure of the call, and Objects is then empty.
	Err error
}

// Watcher is a duty that lists the objects under a prefix, watches them from
// there, and lists again when the store has dropped the history.
type Watcher struct {
	client    *Client
	prefix    string
	watchWait time.Duration
	deliver   func(context.Context, Update) error

	listed   bool
	revision uint64
	failures int
}

// NewWatcher returns a follower whose watches wait as long as given. It hands
// what it learned, failures too, to deliver, whose error ends the duty.
func NewWatcher(client *Client, prefix string, wait time.Duration, deliver func(context.Context, Update) error) *Watcher {
	return &Watcher{client: client, prefix: prefix, watchWait: wait, deliver: deliver}
}

// Serve implements supervisor.Duty.
func (f *Watcher) Serve(ctx context.Context) error {
	for {
		news := f.poll(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := f.deliver(ctx, news); err != nil {
			return err
		}
		if err := ring.Pause(ctx, f.delay(news)); err != nil {
			return err
		}
	}
}

func (f *Watcher) poll(ctx context.Context) Update {
	if !f.listed {
		list, err := f.client.List(ctx, f.prefix)
		if err == nil {
			f.listed, f.revision = true, list.Revision
		}
		return Update{Prefix: f.prefix, Objects: list.Objects, Full: err == nil, Err: err}
	}
	changes, err := f.client.Watch(ctx, f.prefix, f.revision, f.watchWait)
	switch {
	case errors.Is(err, ErrHistoryGone):
		f.listed = false
		return f.poll(ctx)
	case err == nil:
		f.revision = max(f.revision, changes.Revision)
	}
	return Update{Prefix: f.prefix, Objects: changes.Objects, Err: err}
}

func (f *Watcher) delay(news Update) time.Duration {
	if news.Err == nil {
		f.failures = 0
		if len(news.Objects) > 0 {
			return 0
		}
		return idleWatchPause
	}
	f.failures++
	wait := backoff.Delay(f.failures, maxWatchBackoff, rand.Float64())
	var limited *RateLimitedError
	if errors.As(news.Err, &limited) {
		wait += min(limited.RetryAfter, maxWatchBackoff)
	}
	return wait
}
