package engine

import (
	"time"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/standin/faultserver"
	"kingcupcourse/internal/standin/orders"
)

// submitRun asks for a request to be run.
type submitRun struct {
	ring.Reply[progressReply]
	request request
}

func (m submitRun) handle(d *duty, _ time.Time) {
	if m.request.generation != d.generation {
		m.Send(progressReply{err: errLost})
		return
	}
	if _, known := d.runs[m.request.id]; known {
		m.Send(progressReply{err: errDuplicateID})
		return
	}
	r := newRun(m.request, d.batch.status.Version)
	if err := d.batch.submit(r); err != nil {
		m.Send(progressReply{err: err})
		return
	}
	d.runs[r.id] = r
	m.Send(progressReply{progress: r.progress()})
}

func (m awaitProgress) handle(d *duty, _ time.Time) {
	r, known := d.runs[m.id]
	if !known {
		m.Send(progressReply{err: errUnknownRun})
		return
	}
	if r.cancelled {
		m.Send(progressReply{err: errCancelled})
		return
	}
	r.waiters = append(r.waiters, m)
	r.notifyWaiters()
}

// cancelRun cancels a run. The answer says whether there was one.
type cancelRun struct {
	ring.Reply[bool]
	id string
}

func (m cancelRun) handle(d *duty, _ time.Time) {
	r, known := d.runs[m.id]
	known = known && !r.ended()
	if known {
		d.batch.cancel(r)
		r.cancelled = true
		r.failWaiters(errCancelled)
		d.retain(r)
	}
	m.Send(known)
}

// getLoad reads the load report.
type getLoad struct{ ring.Reply[loadReport] }

func (m getLoad) handle(d *duty, now time.Time) {
	d.history.observe(now, d.currentLoad)
	m.Send(d.history.delayedReport(now))
}

// getEvents reads the cache events after a number.
type getEvents struct {
	ring.Reply[eventsResponse]
	after int64
}

func (m getEvents) handle(d *duty, now time.Time) { m.Send(d.events.since(m.after, now)) }

// applyOrder gives an order.
type applyOrder struct {
	ring.Reply[orders.Result]
	order orders.Order
}

func (m applyOrder) handle(d *duty, now time.Time) {
	rules := orders.Options{CheckFence: d.config.CheckFence, LoadTime: milliseconds(d.config.LoadTimeMS)}
	err := d.batch.status.Apply(m.order, rules, now)
	d.stats.Orders.Add(m.order, err, now)
	m.Send(orders.Result{Fence: d.batch.status.HighestFence, Err: err})
}

// updateSettings says which faults are in force.
type updateSettings struct{ settings faultserver.Settings }

func (m updateSettings) handle(d *duty, _ time.Time) { d.batch.settings = m.settings }

// resetState makes the engine forget all, as a crash does.
type resetState struct{ generation int }

func (m resetState) handle(d *duty, _ time.Time) {
	d.reset()
	d.generation = m.generation
}

// getStats reads the counters.
type getStats struct{ ring.Reply[Stats] }

func (m getStats) handle(d *duty, _ time.Time) {
	stats := d.stats.copy()
	stats.Role = d.batch.status.Role
	m.Send(stats)
}
