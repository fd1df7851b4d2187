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
	// followBackoff bounds the wait after failed calls. A host that is back in
	// touch with the platform must learn of changes within the bound for a
	// configuration, two seconds.
	followBackoff = 400 * time.Millisecond
	// followPause is the least time between two calls that brought nothing.
	followPause = 20 * time.Millisecond
)

// News is what a follower learned by one call.
type News struct {
	Prefix string
	// Objects are the changed objects, or all of them if Whole.
	Objects []Object
	Whole   bool
	// Err is the failure of the call, and Objects is then empty.
	Err error
}

// Follower is a duty that lists the objects under a prefix, watches them from
// there, and lists again when the store has dropped the history.
type Follower struct {
	client  *Client
	prefix  string
	wait    time.Duration
	deliver func(context.Context, News) error

	listed   bool
	revision uint64
	failures int
}

// NewFollower returns a follower whose watches wait as long as given. It hands
// what it learned, failures too, to deliver, whose error ends the duty.
func NewFollower(client *Client, prefix string, wait time.Duration, deliver func(context.Context, News) error) *Follower {
	return &Follower{client: client, prefix: prefix, wait: wait, deliver: deliver}
}

// Serve implements supervisor.Duty.
func (f *Follower) Serve(ctx context.Context) error {
	for {
		news := f.next(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := f.deliver(ctx, news); err != nil {
			return err
		}
		if err := ring.Pause(ctx, f.pause(news)); err != nil {
			return err
		}
	}
}

func (f *Follower) next(ctx context.Context) News {
	if !f.listed {
		list, err := f.client.List(ctx, f.prefix)
		if err == nil {
			f.listed, f.revision = true, list.Revision
		}
		return News{Prefix: f.prefix, Objects: list.Objects, Whole: err == nil, Err: err}
	}
	changes, err := f.client.Watch(ctx, f.prefix, f.revision, f.wait)
	switch {
	case errors.Is(err, ErrHistoryGone):
		f.listed = false
		return f.next(ctx)
	case err == nil:
		f.revision = max(f.revision, changes.Revision)
	}
	return News{Prefix: f.prefix, Objects: changes.Objects, Err: err}
}

func (f *Follower) pause(news News) time.Duration {
	if news.Err == nil {
		f.failures = 0
		if len(news.Objects) > 0 {
			return 0
		}
		return followPause
	}
	f.failures++
	wait := backoff.Delay(f.failures, followBackoff, rand.Float64())
	var limited *RateLimitedError
	if errors.As(news.Err, &limited) {
		wait += min(limited.After, followBackoff)
	}
	return wait
}
