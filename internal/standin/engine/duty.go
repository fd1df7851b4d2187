package engine

import (
	"context"
	"time"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/standin/faultserver"
	"kingcupcourse/internal/standin/orders"
)

const (
	// minTickInterval is the least time between two wake-ups of the duty by
	// itself. Tokens that are due in between are delivered together.
	minTickInterval = 2 * time.Millisecond
	// maxRetainedRuns bounds the runs that are over and remembered.
	maxRetainedRuns = 16384
)

// duty is the duty that owns the batch, the runs and the reports.
type duty struct {
	inbox   *ring.Ring[message]
	config  Config
	batch   batch
	events  *eventLog
	history loadHistory
	stats   Stats
	runs    map[string]*run
	// endedRuns is the runs that are over, the oldest first.
	endedRuns []*run
	// crash tells the front to fall. It fails if it must be asked again.
	crash func() error
	// crashReported means that the front knows of the crash in progress.
	crashReported bool
	// generation counts the crashes.
	generation int
	lastTickAt time.Time
}

// message is what the engine duty is told or asked.
type message interface{ handle(d *duty, now time.Time) }

// Serve implements supervisor.Duty.
func (d *duty) Serve(ctx context.Context) error {
	handle := func(m message) error {
		now := time.Now()
		d.advance(now)
		m.handle(d, now)
		d.publish(now)
		return nil
	}
	tick := func() error {
		now := time.Now()
		d.lastTickAt = now
		d.advance(now)
		d.publish(now)
		return nil
	}
	return ring.LoopUntil(ctx, d.inbox, handle, d.nextTick, tick)
}

// nextTick is when the duty has to wake up by itself.
func (d *duty) nextTick() time.Time {
	due := earlier(d.batch.nextEvent(), d.batch.status.LoadDoneAt)
	due = earlier(due, d.history.nextSampleAt())
	if d.batch.crashing && !d.crashReported {
		due = d.lastTickAt
	}
	if due.IsZero() {
		return due
	}
	if soonest := d.lastTickAt.Add(minTickInterval); due.Before(soonest) {
		return soonest
	}
	return due
}

// advance moves the model to now.
func (d *duty) advance(now time.Time) {
	d.batch.status.FinishLoading(now)
	d.batch.advance(now)
}

// publish tells everyone what has changed.
func (d *duty) publish(now time.Time) {
	if d.batch.crashing && !d.crashReported {
		d.crashReported = d.crash() == nil
	}
	for _, r := range d.batch.running {
		r.notifyWaiters()
	}
	d.history.changed = true
	d.history.observe(now, d.currentLoad)
	d.expireRuns(now)
}

// retain keeps a run that is over for those who resume its stream, and so
// that its id is not used again.
func (d *duty) retain(r *run) {
	r.endedAt = d.batch.clock
	r.notifyWaiters()
	d.endedRuns = append(d.endedRuns, r)
}

func (d *duty) expireRuns(now time.Time) {
	limit := now.Add(-milliseconds(d.config.RunRetentionMS))
	for len(d.endedRuns) > 0 {
		oldest := d.endedRuns[0]
		if len(d.endedRuns) <= maxRetainedRuns && oldest.endedAt.After(limit) {
			return
		}
		d.endedRuns[0] = nil
		d.endedRuns = d.endedRuns[1:]
		if d.runs[oldest.id] == oldest {
			delete(d.runs, oldest.id)
		}
	}
}

// reset forgets all runs, the cache and what was ordered, as a crash does.
func (d *duty) reset() {
	for _, r := range d.runs {
		if !r.ended() {
			d.batch.countWastedPrefill(r)
			d.stats.Lost++
		}
		r.failWaiters(errLost)
	}
	d.stats.Crashes++
	d.runs = map[string]*run{}
	d.endedRuns = nil
	d.events.reset()
	d.history.samples = nil
	d.crashReported = false
	d.resetBatch(d.batch.settings, d.batch.clock)
}

// resetBatch makes an empty batch with the version of the start.
func (d *duty) resetBatch(settings faultserver.Settings, now time.Time) {
	d.batch = batch{
		config:   d.config,
		settings: settings,
		status:   orders.NewStatus(d.config.Version),
		cache:    newCache(d.config.CacheTokens, d.events),
		stats:    &d.stats,
		clock:    now,
		onEnd:    d.retain,
	}
}

func (d *duty) currentLoad(now time.Time) loadReport {
	return loadReport{
		AsOfUnixMS:        now.UnixMilli(),
		Version:           d.batch.status.Version,
		State:             d.batch.status.State,
		Slots:             d.config.Slots,
		Running:           len(d.batch.running),
		Waiting:           len(d.batch.waiting),
		OutstandingTokens: d.batch.outstandingTokens(),
		FreeCacheTokens:   d.batch.cache.freeTokens(),
	}
}
