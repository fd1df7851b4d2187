package engine

import (
	"context"
	"time"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/standin/faultserver"
	"kingcupcourse/internal/standin/orders"
)

const (
	// minTickInterval is the minimum time between two ticks of the duty.
	// Tokens that become due in between are delivered together.
	minTickInterval = 2 * time.Millisecond
	// maxRetainedRuns limits the number of ended runs that are kept.
	maxRetainedRuns = 16384
)

// duty owns the batch, the runs, the cache events and the load reports.
type duty struct {
	inbox   *ring.Ring[message]
	config  Config
	batch   batch
	events  *eventLog
	history loadHistory
	stats   Stats
	runs    map[string]*run
	// endedRuns are the ended runs, oldest first.
	endedRuns []*run
	// crash makes the server crash. If it fails, it must be called again.
	crash func() error
	// crashReported means that crash has succeeded for the current crash.
	crashReported bool
	// generation is the number of crashes so far.
	generation int
	lastTickAt time.Time
}

// message is a command or a query to the engine duty.
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

// nextTick returns when the duty has to run without a message, zero for never.
func (d *duty) nextTick() time.Time {
	due := earlier(d.batch.nextEvent(), d.batch.status.LoadDoneAt)
	due = earlier(due, d.history.nextSampleAt())
	if d.batch.crashing && !d.crashReported {
		due = d.lastTickAt
	}
	if due.IsZero() {
		return due
	}
	if earliest := d.lastTickAt.Add(minTickInterval); due.Before(earliest) {
		return earliest
	}
	return due
}

// advance simulates the engine up to now.
func (d *duty) advance(now time.Time) {
	d.batch.status.FinishLoading(now)
	d.batch.advance(now)
}

// publish passes on what has changed: a crash, new tokens, the load.
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

// retain keeps an ended run, so that its stream can be resumed and its id is
// not used again.
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

// reset discards the runs, the cache and the effect of orders, as a crash does.
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

// resetBatch creates an empty batch with the configured version.
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
