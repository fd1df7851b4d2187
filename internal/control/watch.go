package control

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/decision/backoff"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/ring"
)

// watchOrder tells a watcher whether to hold long watches or to poll.
type watchOrder struct{ long bool }

// watchSpec tells what a watcher follows.
type watchSpec struct {
	name, prefix string
	// long tells whether the watcher holds long watches until it is told
	// otherwise.
	long bool
	// deliver hands a changed object to its duty.
	deliver func(context.Context, platform.Object) error
	// answered tells how a call ended, nil to tell nobody.
	answered func(ctx context.Context, up bool) error
}

// watcher is the duty that follows the objects under one prefix.
type watcher struct {
	watchSpec
	platform *platform.Client
	orders   *ring.Ring[watchOrder]
	log      logger
	metrics  *metrics

	after    uint64
	began    bool // a first call has ended
	failures int  // calls that failed in a row
}

// Serve implements supervisor.Duty.
func (w *watcher) Serve(ctx context.Context) error {
	for {
		w.takeOrders()
		changes, err := w.platform.Watch(ctx, w.prefix, w.after, w.wait())
		if ctx.Err() != nil {
			return ctx.Err()
		}
		w.began = true
		if failed := w.handleAnswer(ctx, changes, err); failed != nil {
			return failed
		}
		if err := w.pause(ctx, w.delay(len(changes.Objects) > 0, err)); err != nil {
			return err
		}
	}
}

func (w *watcher) takeOrders() {
	for order, ok := w.orders.TryTake(); ok; order, ok = w.orders.TryTake() {
		w.long = order.long
	}
}

// wait is how long the next call may wait for a change. The first call only
// reads, so that the process learns soon what there is.
func (w *watcher) wait() time.Duration {
	if !w.long || !w.began {
		return 0
	}
	return watchWait
}

// handleAnswer hands on what a call has returned. Its error is only that of ctx.
func (w *watcher) handleAnswer(ctx context.Context, changes platform.Changes, failure error) error {
	if failure == nil {
		for _, object := range changes.Objects {
			if err := w.deliver(ctx, object); err != nil {
				return err
			}
		}
		w.after = max(w.after, changes.Revision)
	}
	if w.answered == nil {
		return nil
	}
	return w.answered(ctx, failure == nil)
}

// pause waits until the next call is due, or an order comes.
func (w *watcher) pause(ctx context.Context, delay time.Duration) error {
	order, err := w.orders.TakeUntil(ctx, time.Now().Add(delay))
	switch {
	case errors.Is(err, ring.ErrTimeout):
		return nil
	case err != nil:
		return err
	}
	w.long = order.long
	return nil
}

// delay returns the pause after a call.
func (w *watcher) delay(changed bool, failure error) time.Duration {
	if failure == nil {
		w.metrics.platformCalls.WithLabelValues(w.prefix, "ok").Inc()
		w.failures = 0
		return w.period(changed)
	}
	w.metrics.platformCalls.WithLabelValues(w.prefix, "failed").Inc()
	w.failures++
	if w.failures == 1 {
		w.log.Warn("platform watch failed", zap.String("prefix", w.prefix), zap.String("error", failure.Error()))
	}
	delay := backoff.Delay(w.failures, w.longestBackoff(), rand.Float64())
	var limited *platform.RateLimitedError
	if errors.As(failure, &limited) {
		delay += limited.RetryAfter
	}
	return delay
}

// longestBackoff bounds the wait after failures. A process that only polls
// does not call more often in an outage than at other times.
func (w *watcher) longestBackoff() time.Duration {
	if w.long {
		return backoff.MaxDelay
	}
	return pollPeriod
}

// period is the pause between two successful calls. A change may be followed
// by others at once; a watch that ends early without one must not come back
// at once.
func (w *watcher) period(changed bool) time.Duration {
	switch {
	case !w.long:
		return pollPeriod/2 + rand.N(pollPeriod/2)
	case changed:
		return 0
	default:
		return watchPause
	}
}

func (c *Control) platformAnswered(ctx context.Context, up bool) error {
	return c.configuration.inbox.Put(ctx, platformAsked{up: up})
}

func (c *Control) deliverManifest(ctx context.Context, object platform.Object) error {
	if object.Key != watchManifest {
		return nil
	}
	return c.configuration.inbox.Put(ctx, offered{version: object.Version, text: object.Value, source: "platform"})
}

func (c *Control) deliverHosts(ctx context.Context, object platform.Object) error {
	var list message.HostList
	if object.Key != watchHosts || json.Unmarshal(object.Value, &list) != nil {
		return nil
	}
	return c.members.inbox.Put(ctx, hostsListed{list: list})
}

// deliverVerdict hands on the object "verdicts/{pool}/{version}".
func (c *Control) deliverVerdict(ctx context.Context, object platform.Object) error {
	key := strings.TrimPrefix(object.Key, prefixVerdicts)
	return c.members.inbox.Put(ctx, reported{fact: BadVersionFact(key, object.Value)})
}

// deliverMove hands on the object "status/moves/{move}".
func (c *Control) deliverMove(ctx context.Context, object platform.Object) error {
	key := strings.TrimPrefix(object.Key, prefixMoves)
	return c.members.inbox.Put(ctx, reported{fact: MoveFact(key, object.Version, object.Value)})
}

// BadVersionFact returns the fact that a version is bad for ever. The key is
// pool/version; the value a message.BadVersion.
func BadVersionFact(key string, value json.RawMessage) message.Fact {
	return message.Fact{Kind: message.FactBadVersion, Key: key, Rank: 1, Value: value}
}

// MoveFact returns the fact of a move's stage. Its rank is the version of the
// move's status object in the platform; the value is a message.MoveStage.
func MoveFact(move string, version uint64, value json.RawMessage) message.Fact {
	return message.Fact{Kind: message.FactMove, Key: move, Rank: version, Value: value}
}
