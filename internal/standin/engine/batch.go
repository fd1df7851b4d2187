package engine

import (
	"math"
	"strings"
	"time"

	"kingcupcourse/internal/standin/faultserver"
	"kingcupcourse/internal/standin/orders"
)

// prefillEpsilon is the rest of a prefill, in tokens, that counts as none.
const prefillEpsilon = 1e-6

// batch is the model of an engine: which requests run, and how far they
// are. It moves only in advance; it starts no work and does no input or
// output by itself.
type batch struct {
	config   Config
	settings faultserver.Settings
	status   orders.EndpointStatus
	cache    *cache
	stats    *Stats

	// clock is the time up to which the batch has been moved.
	clock time.Time
	// stepEndsAt is the end of the decode step in progress, zero if none is.
	stepEndsAt time.Time
	waiting    []*run
	running    []*run
	// onEnd takes the runs that finish.
	onEnd func(*run)
	// crashing means that a request that crashes the engine was admitted.
	crashing bool
}

// nextEvent is when the batch nextEvent changes by itself, zero for never.
func (b *batch) nextEvent() time.Time {
	if b.settings.Freeze {
		return time.Time{}
	}
	first := b.stepEndsAt
	if r := b.prefilling(); r != nil {
		first = earlier(first, b.clock.Add(b.prefillTime(r.prefillLeft)))
	}
	return first
}

// advance moves the batch to now.
func (b *batch) advance(now time.Time) {
	for !b.crashing {
		due := b.nextEvent()
		if due.IsZero() || due.After(now) {
			break
		}
		b.advanceClock(due)
		b.finishPrefill()
		if !b.stepEndsAt.IsZero() && !b.stepEndsAt.After(b.clock) {
			b.completeStep()
		}
		b.admit()
	}
	if now.After(b.clock) {
		b.advanceClock(now)
	}
}

// advanceClock spends the time until then on the prefill in progress.
func (b *batch) advanceClock(then time.Time) {
	passed := then.Sub(b.clock)
	b.clock = then
	if b.settings.Freeze {
		if !b.stepEndsAt.IsZero() {
			b.stepEndsAt = b.stepEndsAt.Add(passed)
		}
		return
	}
	if r := b.prefilling(); r != nil {
		r.prefillLeft -= passed.Seconds() * b.config.PrefillTokensPerSecond / b.settings.SlowFactor
		// What is done is told apart from what is nearly done here.
		r.prefillLeft = max(r.prefillLeft, prefillEpsilon)
	}
}

// prefilling is the request whose prompt is being read: one at a time, in
// the order of admission.
func (b *batch) prefilling() *run {
	for _, r := range b.running {
		if !r.prefilled() {
			return r
		}
	}
	return nil
}

func (b *batch) prefillTime(tokens float64) time.Duration {
	seconds := tokens / b.config.PrefillTokensPerSecond * b.settings.SlowFactor
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// stepTime is how long a decode step takes with the present batch.
func (b *batch) stepTime() time.Duration {
	further := float64(len(b.running) - 1)
	seconds := (1 + b.config.StepSlowdown*further) * b.settings.SlowFactor / b.config.DecodeTokensPerSecond
	return time.Duration(seconds * float64(time.Second))
}

func (b *batch) finishPrefill() {
	r := b.prefilling()
	if r == nil || r.prefillLeft > prefillEpsilon {
		return
	}
	r.prefillLeft = 0
	b.stats.PrefillTokens += r.prefillTokens
	b.cache.storePrompt(r)
	if b.stepEndsAt.IsZero() {
		b.stepEndsAt = b.clock.Add(b.stepTime())
	}
}

// completeStep gives each request that is past its prefill one token.
func (b *batch) completeStep() {
	kept := b.running[:0]
	decoding := false
	for _, r := range b.running {
		if r.prefilled() {
			r.produced++
			b.stats.DecodeTokens++
		}
		if r.finished() {
			b.finish(r)
			continue
		}
		decoding = decoding || r.prefilled()
		kept = append(kept, r)
	}
	clear(b.running[len(kept):])
	b.running = kept
	b.stepEndsAt = time.Time{}
	if decoding {
		b.stepEndsAt = b.clock.Add(b.stepTime())
	}
}

func (b *batch) finish(r *run) {
	b.cache.release(r)
	b.stats.Finished++
	b.onEnd(r)
}

// admit lets waiting requests run, strictly in the order of arrival.
func (b *batch) admit() {
	for len(b.waiting) > 0 && len(b.running) < b.config.Slots && !b.crashing {
		r := b.waiting[0]
		if !b.cache.reserve(r) {
			return
		}
		b.waiting[0] = nil
		b.waiting = b.waiting[1:]
		b.running = append(b.running, r)
		b.stats.CachedPrefillTokens += r.promptTokens - r.prefillTokens
		b.stats.PeakRunning = max(b.stats.PeakRunning, len(b.running))
		b.crashing = b.settings.CrashOn != "" && strings.Contains(r.prompt, b.settings.CrashOn)
	}
}

// submit takes a request in, or says why not.
func (b *batch) submit(r *run) error {
	switch {
	case b.status.State != orders.Ready:
		return notReadyError{state: b.status.State}
	case r.promptTokens+r.outputTokens > b.config.CacheTokens:
		return errTooLong
	case len(b.waiting) >= b.config.MaxWaiting:
		return errQueueFull
	case b.settings.FailAboveRunning > 0 && len(b.running) >= b.settings.FailAboveRunning:
		return errOverload
	}
	b.stats.countRun(r.id)
	b.waiting = append(b.waiting, r)
	b.admit()
	b.stats.PeakWaiting = max(b.stats.PeakWaiting, len(b.waiting))
	return nil
}

// cancel takes a request out that has not finished.
func (b *batch) cancel(r *run) {
	b.countWastedPrefill(r)
	b.cache.release(r)
	b.waiting = removeRun(b.waiting, r)
	b.running = removeRun(b.running, r)
	if b.prefilling() == nil && len(b.running) == 0 {
		b.stepEndsAt = time.Time{}
	}
	b.stats.Cancelled++
	b.admit()
}

// countWastedPrefill counts the prefill of a run that will not finish.
func (b *batch) countWastedPrefill(r *run) {
	done := r.prefillTokens - int(math.Ceil(r.prefillLeft))
	if !r.prefilled() {
		b.stats.PrefillTokens += done
	}
	b.stats.WastedPrefillTokens += done
}

// outstandingTokens is the work that is left, in tokens.
func (b *batch) outstandingTokens() int {
	total := 0
	for _, r := range b.running {
		total += r.outstandingTokens()
	}
	for _, r := range b.waiting {
		total += r.promptTokens + r.outstandingTokens()
	}
	return total
}

func removeRun(list []*run, taken *run) []*run {
	kept := make([]*run, 0, len(list))
	for _, r := range list {
		if r != taken {
			kept = append(kept, r)
		}
	}
	return kept
}

// earlier returns the earlier of two times, where zero means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
