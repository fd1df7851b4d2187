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

// watchMode makes a watcher hold long watches or poll.
type watchMode struct{ long bool }

// watchSpec configures a watcher.
type watchSpec struct {
	name, prefix string
	// long makes the watcher hold long watches until a watchMode changes this.
	long bool
	// deliver passes a changed object to the duty that owns it.
	deliver func(context.Context, platform.Object) error
	// reportResult reports whether a call succeeded; it may be nil.
	reportResult func(ctx context.Context, up bool) error
}

// watcher is the duty that follows the platform's objects under a prefix.
type watcher struct {
	watchSpec
	platform *platform.Client
	modes    *ring.Ring[watchMode]
	log      logger
	metrics  *metrics

	lastRevision uint64
	calledOnce   bool // the first call has ended
	failures     int  // consecutive failed calls
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
		if deliverErr := w.deliverChanges(ctx, changes, err); deliverErr != nil {
			return deliverErr
		}
		if err := w.pause(ctx, w.nextDelay(len(changes.Objects) > 0, err)); err != nil {
			return err
		}
	}
}

func (w *watcher) applyModeChanges() {
	for mode, ok := w.modes.TryTake(); ok; mode, ok = w.modes.TryTake() {
		w.long = mode.long
	}
}

// callWait returns how long the next call may wait for a change. The first call
// does not wait, so that the process soon learns the current state.
func (w *watcher) callWait() time.Duration {
	if !w.long || !w.calledOnce {
		return 0
	}
	return watchWait
}

// deliverChanges passes on the result of a call. It returns an error only if ctx
// ends.
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

// pause waits until the next call is due or the mode changes.
func (w *watcher) pause(ctx context.Context, delay time.Duration) error {
	mode, err := w.modes.TakeUntil(ctx, time.Now().Add(delay))
	switch {
	case errors.Is(err, ring.ErrTimeout):
		return nil
	case err != nil:
		return err
	}
	w.long = mode.long
	return nil
}

// nextDelay returns the pause after a call and counts the call.
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

// maxBackoff returns the maximum delay after failures. A process that polls does
// not call more often during an outage than at other times.
func (w *watcher) maxBackoff() time.Duration {
	if w.long {
		return backoff.MaxDelay
	}
	return maxPollInterval
}

// pauseAfterSuccess returns the pause after a successful call. There is none after
// a change, which others may follow closely. A watch that ended early without a
// change must not be repeated at once.
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

// deliverVerdict passes the object "verdicts/{pool}/{version}" to the members duty.
func (c *Control) deliverVerdict(ctx context.Context, object platform.Object) error {
	key := strings.TrimPrefix(object.Key, verdictsPrefix)
	return c.members.inbox.Put(ctx, localFact{fact: BadVersionFact(key, object.Value)})
}

// deliverMove passes the object "status/moves/{move}" to the members duty.
func (c *Control) deliverMove(ctx context.Context, object platform.Object) error {
	key := strings.TrimPrefix(object.Key, movesPrefix)
	return c.members.inbox.Put(ctx, localFact{fact: MoveFact(key, object.Version, object.Value)})
}

// BadVersionFact returns the fact that a version is bad, which never expires. The
// key is pool/version; the value is a message.BadVersion.
func BadVersionFact(key string, value json.RawMessage) message.Fact {
	return message.Fact{Kind: message.FactBadVersion, Key: key, Rank: 1, Value: value}
}

// MoveFact returns the fact of a move's stage. Its rank is the version of the
// move's status object in the platform; the value is a message.MoveStage.
func MoveFact(move string, version uint64, value json.RawMessage) message.Fact {
	return message.Fact{Kind: message.FactMove, Key: move, Rank: version, Value: value}
}
