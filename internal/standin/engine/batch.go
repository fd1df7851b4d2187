package engine

import (
	"math"
	"strings"
	"time"

	"kingcupcourse/internal/standin/faultserver"
	"kingcupcourse/internal/standin/orders"
)

// prefillEpsilon is the remainder of a prefill, in tokens, that counts as zero.
const prefillEpsilon = 1e-6

// batch models continuous batching: which requests run, and how far they have
// got. Time passes only in advance; batch starts no goroutines and does no I/O.
type batch struct {
	config   Config
	settings faultserver.Settings
	status   orders.EndpointStatus
	cache    *cache
	stats    *Stats

	// clock is the time that the batch has been advanced to.
	clock time.Time
	// stepEndsAt is the end of the current decode step, zero if there is none.
	stepEndsAt time.Time
	waiting    []*run
	running    []*run
	// onEnd is called with each run that finishes.
	onEnd func(*run)
	// crashing means that a request that crashes the engine has been admitted.
	crashing bool
}

// nextEvent returns when the batch next changes without a call, zero for never.
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

// advance simulates the batch up to now.
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

// advanceClock sets the clock to then. The time in between goes into the current
// prefill.
func (b *batch) advanceClock(then time.Time) {
	elapsed := then.Sub(b.clock)
	b.clock = then
	if b.settings.Freeze {
		if !b.stepEndsAt.IsZero() {
			b.stepEndsAt = b.stepEndsAt.Add(elapsed)
		}
		return
	}
	if r := b.prefilling(); r != nil {
		r.prefillLeft -= elapsed.Seconds() * b.config.PrefillTokensPerSecond / b.settings.SlowFactor
		// Zero means that the prefill is complete. Only finishPrefill sets it.
		r.prefillLeft = max(r.prefillLeft, prefillEpsilon)
	}
}

// prefilling returns the run in prefill, nil if there is none. Prompts are
// processed one at a time, in the order of admission.
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

// stepTime returns the duration of a decode step with the current batch.
func (b *batch) stepTime() time.Duration {
	others := float64(len(b.running) - 1)
	seconds := (1 + b.config.StepSlowdown*others) * b.settings.SlowFactor / b.config.DecodeTokensPerSecond
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

// completeStep adds a token to each run that is past its prefill.
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

// admit moves waiting runs into the batch, strictly in the order of arrival.
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

// submit queues a run, or returns the reason for refusing it.
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

// cancel removes a run that has not finished.
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

// countWastedPrefill counts the prefill done for a run that will not finish.
func (b *batch) countWastedPrefill(r *run) {
	done := r.prefillTokens - int(math.Ceil(r.prefillLeft))
	if !r.prefilled() {
		b.stats.PrefillTokens += done
	}
	b.stats.WastedPrefillTokens += done
}

// outstandingTokens returns the remaining work of all runs, in tokens.
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

func removeRun(list []*run, removed *run) []*run {
	kept := make([]*run, 0, len(list))
	for _, r := range list {
		if r != removed {
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
