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
	// maxWatchBackoff bounds the delay after failed calls. Once the platform
	// is reachable again, a host must apply configuration changes within two
	// seconds.
	maxWatchBackoff = 400 * time.Millisecond
	// idleWatchPause is the minimum time between two calls without changes.
	idleWatchPause = 20 * time.Millisecond
)

// Update is the result of one call of a Watcher.
type Update struct {
	Prefix string
	// Objects are the changed objects, or all objects if Full.
	Objects []Object
	Full    bool
	// After and Revision are the revisions of the store before and after the
	// changes. After is zero if Full.
	After, Revision uint64
	// Err is the error of the call; Objects is empty if it is set.
	Err error
	// FailingSince is since when the state is unknown, zero for the time of the
	// update. It accompanies Err.
	FailingSince time.Time
}

// Cursor is where a Watcher continues: with the changes after the revision, or
// with a list of all objects.
type Cursor struct {
	Listed   bool
	Revision uint64
}

// Watcher is a duty that lists the objects under a prefix, then watches them
// from that revision, and lists them again when the store no longer has the
// history, or when that has become much larger than a list.
type Watcher struct {
	client    *Client
	prefix    string
	watchWait time.Duration
	deliver   func(context.Context, Update) error
	// next returns where to continue; nil for a Watcher that always continues
	// where it ended.
	next func(context.Context) (Cursor, error)

	Cursor
	failures int
}

// NewWatcher returns a Watcher whose watches wait for watchWait. It passes each
// update, including failures, to deliver; an error of deliver ends the duty.
func NewWatcher(client *Client, prefix string, watchWait time.Duration, deliver func(context.Context, Update) error) *Watcher {
	return &Watcher{client: client, prefix: prefix, watchWait: watchWait, deliver: deliver}
}

// WithCursor makes the Watcher ask before each call where to continue. The call is
// delayed until next returns; an error of next ends the duty.
func (w *Watcher) WithCursor(next func(context.Context) (Cursor, error)) *Watcher {
	w.next = next
	return w
}

// Serve implements supervisor.Duty.
func (w *Watcher) Serve(ctx context.Context) error {
	for {
		if w.next != nil {
			cursor, err := w.next(ctx)
			if err != nil {
				return err
			}
			w.Cursor = cursor
		}
		update := w.poll(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := w.deliver(ctx, update); err != nil {
			return err
		}
		if err := ring.Pause(ctx, w.delay(update)); err != nil {
			return err
		}
	}
}

func (w *Watcher) poll(ctx context.Context) Update {
	if !w.Listed {
		list, err := w.client.List(ctx, w.prefix)
		if err == nil {
			w.Listed, w.Revision = true, list.Revision
		}
		return Update{Prefix: w.prefix, Objects: list.Objects, Full: err == nil, Revision: list.Revision, Err: err}
	}
	after := w.Revision
	changes, err := w.client.Watch(ctx, w.prefix, after, w.watchWait)
	switch {
	case errors.Is(err, ErrHistoryGone), errors.Is(err, ErrTooLarge):
		w.Listed = false
		return w.poll(ctx)
	case err == nil:
		w.Revision = max(w.Revision, changes.Revision)
	}
	return Update{Prefix: w.prefix, Objects: changes.Objects, After: after, Revision: changes.Revision, Err: err}
}

func (w *Watcher) delay(update Update) time.Duration {
	if update.Err == nil {
		w.failures = 0
		if len(update.Objects) > 0 {
			return 0
		}
		return idleWatchPause
	}
	w.failures++
	delay := backoff.Delay(w.failures, maxWatchBackoff, rand.Float64())
	var limited *RateLimitedError
	if errors.As(update.Err, &limited) {
		delay += min(limited.RetryAfter, maxWatchBackoff)
	}
	return delay
}
