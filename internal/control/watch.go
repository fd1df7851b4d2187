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

// watchMode tells a watcher whether to hold long watches or to poll.
type watchMode struct{ long bool }

// watchSpec tells what a watcher follows.
type watchSpec struct {
	name, prefix string
	// long tells whether the watcher holds long watches until it is told
	// otherwise.
	long bool
	// deliver hands a changed object to its duty.
	deliver func(context.Context, platform.Object) error
	// reportResult tells how a call ended, nil to tell nobody.
	reportResult func(ctx context.Context, up bool) error
}

// watcher is the duty that follows the objects under one prefix.
type watcher struct {
	watchSpec
	platform *platform.Client
	modes    *ring.Ring[watchMode]
	log      logger
	metrics  *metrics

	lastRevision uint64
	calledOnce   bool // a first call has ended
	failures     int  // calls that failed in a row
}

// Serve implements supervisor.Duty.
func (w *watcher) Serve(ctx context.Context) error {
	for {
		w.applyModeChanges()
		changes, err := w.platform.Watch(ctx, w.prefix, w.lastRevision, w.callWait())
		if ctx.Err() != nil {
			return ctx.Err()
		}
		w.calledOnce = true
		if failed := w.deliverChanges(ctx, changes, err); failed != nil {
			return failed
		}
		if err := w.pause(ctx, w.nextDelay(len(changes.Objects) > 0, err)); err != nil {
			return err
		}
	}
}

func (w *watcher) applyModeChanges() {
	for order, ok := w.modes.TryTake(); ok; order, ok = w.modes.TryTake() {
		w.long = order.long
	}
}

// callWait is how long the next call may callWait for a change. The first call only
// reads, so that the process learns soon what there is.
func (w *watcher) callWait() time.Duration {
	if !w.long || !w.calledOnce {
		return 0
	}
	return watchWait
}

// deliverChanges hands on what a call has returned. Its error is only that of ctx.
func (w *watcher) deliverChanges(ctx context.Context, changes platform.Changes, failure error) error {
	if failure == nil {
		for _, object := range changes.Objects {
			if err := w.deliver(ctx, object); err != nil {
				return err
			}
		}
		w.lastRevision = max(w.lastRevision, changes.Revision)
	}
	if w.reportResult == nil {
		return nil
	}
	return w.reportResult(ctx, failure == nil)
}

// pause waits until the next call is due, or an order comes.
func (w *watcher) pause(ctx context.Context, delay time.Duration) error {
	order, err := w.modes.TakeUntil(ctx, time.Now().Add(delay))
	switch {
	case errors.Is(err, ring.ErrTimeout):
		return nil
	case err != nil:
		return err
	}
	w.long = order.long
	return nil
}

// nextDelay returns the pause after a call.
func (w *watcher) nextDelay(changed bool, failure error) time.Duration {
	if failure == nil {
		w.metrics.platformCalls.WithLabelValues(w.prefix, "ok").Inc()
		w.failures = 0
		return w.pauseAfterSuccess(changed)
	}
	w.metrics.platformCalls.WithLabelValues(w.prefix, "failed").Inc()
	w.failures++
	if w.failures == 1 {
		w.log.Warn("platform watch failed", zap.String("prefix", w.prefix), zap.String("error", failure.Error()))
	}
	delay := backoff.Delay(w.failures, w.maxBackoff(), rand.Float64())
	var limited *platform.RateLimitedError
	if errors.As(failure, &limited) {
		delay += limited.RetryAfter
	}
	return delay
}

// maxBackoff bounds the wait after failures. A process that only polls
// does not call more often in an outage than at other times.
func (w *watcher) maxBackoff() time.Duration {
	if w.long {
		return backoff.MaxDelay
	}
	return maxPollInterval
}

// pauseAfterSuccess is the pause between two successful calls. A change may be followed
// by others at once; a watch that ends early without one must not come back
// at once.
func (w *watcher) pauseAfterSuccess(changed bool) time.Duration {
	switch {
	case !w.long:
		return maxPollInterval/2 + rand.N(maxPollInterval/2)
	case changed:
		return 0
	default:
		return idleWatchPause
	}
}

func (c *Control) reportPlatformState(ctx context.Context, up bool) error {
	return c.configuration.inbox.Put(ctx, platformCallDone{up: up})
}

func (c *Control) deliverManifest(ctx context.Context, object platform.Object) error {
	if object.Key != manifestKey {
		return nil
	}
	return c.configuration.inbox.Put(ctx, manifestOffer{version: object.Version, manifestJSON: object.Value, source: "platform"})
}

func (c *Control) deliverHosts(ctx context.Context, object platform.Object) error {
	var list message.HostList
	if object.Key != hostsKey || json.Unmarshal(object.Value, &list) != nil {
		return nil
	}
	return c.members.inbox.Put(ctx, hostListUpdate{list: list})
}

// deliverVerdict hands on the object "verdicts/{pool}/{version}".
func (c *Control) deliverVerdict(ctx context.Context, object platform.Object) error {
	key := strings.TrimPrefix(object.Key, verdictsPrefix)
	return c.members.inbox.Put(ctx, localFact{fact: BadVersionFact(key, object.Value)})
}

// deliverMove hands on the object "status/moves/{move}".
func (c *Control) deliverMove(ctx context.Context, object platform.Object) error {
	key := strings.TrimPrefix(object.Key, movesPrefix)
	return c.members.inbox.Put(ctx, localFact{fact: MoveFact(key, object.Version, object.Value)})
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
