package engine

import (
	"math"
	"strings"
	"time"

	"kingcupcourse/internal/standin/front"
	"kingcupcourse/internal/standin/orders"
)

// prefillDone is the rest of a prefill, in tokens, that counts as none.
const prefillDone = 1e-6

// batch is the model of an engine: which requests run, and how far they
// are. It moves only in advance; it starts no work and does no input or
// output by itself.
type batch struct {
	config   Config
	settings front.Settings
	standing orders.Standing
	cache    *cache
	stats    *Stats

	// clock is the time up to which the batch has been moved.
	clock time.Time
	// stepAt is the end of the decode step in progress, zero if none is.
	stepAt  time.Time
	waiting []*run
	running []*run
	// ended takes the runs that finish.
	ended func(*run)
	// poisoned means that a request that crashes the engine was admitted.
	poisoned bool
}

// next is when the batch next changes by itself, zero for never.
func (b *batch) next() time.Time {
	if b.settings.Freeze {
		return time.Time{}
	}
	first := b.stepAt
	if r := b.prefilling(); r != nil {
		first = earlier(first, b.clock.Add(b.prefillTime(r.prefillLeft)))
	}
	return first
}

// advance moves the batch to now.
func (b *batch) advance(now time.Time) {
	for !b.poisoned {
		due := b.next()
		if due.IsZero() || due.After(now) {
			break
		}
		b.moveClock(due)
		b.finishPrefill()
		if !b.stepAt.IsZero() && !b.stepAt.After(b.clock) {
			b.step()
		}
		b.admit()
	}
	if now.After(b.clock) {
		b.moveClock(now)
	}
}

// moveClock spends the time until then on the prefill in progress.
func (b *batch) moveClock(then time.Time) {
	passed := then.Sub(b.clock)
	b.clock = then
	if b.settings.Freeze {
		if !b.stepAt.IsZero() {
			b.stepAt = b.stepAt.Add(passed)
		}
		return
	}
	if r := b.prefilling(); r != nil {
		r.prefillLeft -= passed.Seconds() * b.config.PrefillTokensPerSecond / b.settings.SlowFactor
		// What is done is told apart from what is nearly done here.
		r.prefillLeft = max(r.prefillLeft, prefillDone)
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
	if r == nil || r.prefillLeft > prefillDone {
		return
	}
	r.prefillLeft = 0
	b.stats.PrefillTokens += r.charged
	b.cache.store(r)
	if b.stepAt.IsZero() {
		b.stepAt = b.clock.Add(b.stepTime())
	}
}

// step gives each request that is past its prefill one token.
func (b *batch) step() {
	kept := b.running[:0]
	decoding := false
	for _, r := range b.running {
		if r.prefilled() {
			r.produced++
			b.stats.DecodeTokens++
		}
		if r.finished() {
			b.end(r)
			continue
		}
		decoding = decoding || r.prefilled()
		kept = append(kept, r)
	}
	clear(b.running[len(kept):])
	b.running = kept
	b.stepAt = time.Time{}
	if decoding {
		b.stepAt = b.clock.Add(b.stepTime())
	}
}

func (b *batch) end(r *run) {
	b.cache.release(r)
	b.stats.Finished++
	b.ended(r)
}

// admit lets waiting requests run, strictly in the order of arrival.
func (b *batch) admit() {
	for len(b.waiting) > 0 && len(b.running) < b.config.Slots && !b.poisoned {
		r := b.waiting[0]
		if !b.cache.reserve(r) {
			return
		}
		b.waiting[0] = nil
		b.waiting = b.waiting[1:]
		b.running = append(b.running, r)
		b.stats.CachedPrefillTokens += r.promptTokens - r.charged
		b.stats.PeakRunning = max(b.stats.PeakRunning, len(b.running))
		b.poisoned = b.settings.CrashOn != "" && strings.Contains(r.prompt, b.settings.CrashOn)
	}
}

// submit takes a request in, or says why not.
func (b *batch) submit(r *run) error {
	switch {
	case b.standing.State != orders.Ready:
		return refusal{state: b.standing.State}
	case r.promptTokens+r.total > b.config.CacheTokens:
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
	b.waste(r)
	b.cache.release(r)
	b.waiting = without(b.waiting, r)
	b.running = without(b.running, r)
	if b.prefilling() == nil && len(b.running) == 0 {
		b.stepAt = time.Time{}
	}
	b.stats.Cancelled++
	b.admit()
}

// waste counts the prefill of a run that will not finish.
func (b *batch) waste(r *run) {
	done := r.charged - int(math.Ceil(r.prefillLeft))
	if !r.prefilled() {
		b.stats.PrefillTokens += done
	}
	b.stats.WastedPrefillTokens += done
}

// outstanding is the work that is left, in tokens.
func (b *batch) outstanding() int {
	total := 0
	for _, r := range b.running {
		total += r.outstanding()
	}
	for _, r := range b.waiting {
		total += r.promptTokens + r.outstanding()
	}
	return total
}

func without(list []*run, taken *run) []*run {
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
