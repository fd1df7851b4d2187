package engine

import (
	"context"
	"time"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/standin/front"
	"kingcupcourse/internal/standin/orders"
)

const (
	// wakeInterval is the least time between two wake-ups of the duty by
	// itself. Tokens that are due in between are delivered together.
	wakeInterval = 2 * time.Millisecond
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
	// retained is the runs that are over, the oldest first.
	retained []*run
	// crash tells the front to fall. It fails if it must be asked again.
	crash func() error
	// crashTold means that the front knows of the crash in progress.
	crashTold bool
	// life counts the crashes.
	life    int
	wokenAt time.Time
}

// message is what the engine duty is told or asked.
type message interface{ handle(d *duty, now time.Time) }

// Serve implements supervisor.Duty.
func (d *duty) Serve(ctx context.Context) error {
	handle := func(m message) error {
		now := time.Now()
		d.advance(now)
		m.handle(d, now)
		d.settle(now)
		return nil
	}
	tick := func() error {
		now := time.Now()
		d.wokenAt = now
		d.advance(now)
		d.settle(now)
		return nil
	}
	return ring.LoopUntil(ctx, d.inbox, handle, d.next, tick)
}

// next is when the duty has to wake up by itself.
func (d *duty) next() time.Time {
	due := earlier(d.batch.next(), d.batch.standing.LoadedAt)
	due = earlier(due, d.history.next())
	if d.batch.poisoned && !d.crashTold {
		due = d.wokenAt
	}
	if due.IsZero() {
		return due
	}
	if soonest := d.wokenAt.Add(wakeInterval); due.Before(soonest) {
		return soonest
	}
	return due
}

// advance moves the model to now.
func (d *duty) advance(now time.Time) {
	d.batch.standing.FinishLoading(now)
	d.batch.advance(now)
}

// settle tells everyone what has changed.
func (d *duty) settle(now time.Time) {
	if d.batch.poisoned && !d.crashTold {
		d.crashTold = d.crash() == nil
	}
	for _, r := range d.batch.running {
		r.tell()
	}
	d.history.changed = true
	d.history.observe(now, d.report)
	d.forgetOld(now)
}

// ended keeps a run that is over for those who resume its stream, and so
// that its id is not used again.
func (d *duty) ended(r *run) {
	r.endedAt = d.batch.clock
	r.tell()
	d.retained = append(d.retained, r)
}

func (d *duty) forgetOld(now time.Time) {
	limit := now.Add(-milliseconds(d.config.RunRetentionMS))
	for len(d.retained) > 0 {
		oldest := d.retained[0]
		if len(d.retained) <= maxRetainedRuns && oldest.endedAt.After(limit) {
			return
		}
		d.retained[0] = nil
		d.retained = d.retained[1:]
		if d.runs[oldest.id] == oldest {
			delete(d.runs, oldest.id)
		}
	}
}

// lose forgets all runs, the cache and what was ordered, as a crash does.
func (d *duty) lose() {
	for _, r := range d.runs {
		if !r.over() {
			d.batch.waste(r)
			d.stats.Lost++
		}
		r.fail(errLost)
	}
	d.stats.Crashes++
	d.runs = map[string]*run{}
	d.retained = nil
	d.events.reset()
	d.history.samples = nil
	d.crashTold = false
	d.begin(d.batch.settings, d.batch.clock)
}

// begin makes an empty batch with the version of the start.
func (d *duty) begin(settings front.Settings, now time.Time) {
	d.batch = batch{
		config:   d.config,
		settings: settings,
		standing: orders.Begin(d.config.Version),
		cache:    newCache(d.config.CacheTokens, d.events),
		stats:    &d.stats,
		clock:    now,
		ended:    d.ended,
	}
}

func (d *duty) report(now time.Time) loadReport {
	return loadReport{
		AsOfUnixMS:        now.UnixMilli(),
		Version:           d.batch.standing.Version,
		State:             d.batch.standing.State,
		Slots:             d.config.Slots,
		Running:           len(d.batch.running),
		Waiting:           len(d.batch.waiting),
		OutstandingTokens: d.batch.outstanding(),
		FreeCacheTokens:   d.batch.cache.free(),
	}
}
