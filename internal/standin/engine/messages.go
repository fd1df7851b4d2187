package engine

import (
	"time"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/standin/front"
	"kingcupcourse/internal/standin/orders"
)

// submitAsked asks for a request to be run.
type submitAsked struct {
	ring.Reply[progressAnswer]
	request request
}

func (m submitAsked) handle(d *duty, _ time.Time) {
	if m.request.life != d.life {
		m.Send(progressAnswer{err: errLost})
		return
	}
	if _, known := d.runs[m.request.id]; known {
		m.Send(progressAnswer{err: errDuplicate})
		return
	}
	r := newRun(m.request, d.batch.standing.Version)
	if err := d.batch.submit(r); err != nil {
		m.Send(progressAnswer{err: err})
		return
	}
	d.runs[r.id] = r
	m.Send(progressAnswer{progress: r.progress()})
}

func (m progressAsked) handle(d *duty, _ time.Time) {
	r, known := d.runs[m.id]
	if !known {
		m.Send(progressAnswer{err: errUnknownRun})
		return
	}
	if r.cancelled {
		m.Send(progressAnswer{err: errCancelled})
		return
	}
	r.waiters = append(r.waiters, m)
	r.tell()
}

// cancelOrdered cancels a run. The answer says whether there was one.
type cancelOrdered struct {
	ring.Reply[bool]
	id string
}

func (m cancelOrdered) handle(d *duty, _ time.Time) {
	r, known := d.runs[m.id]
	known = known && !r.over()
	if known {
		d.batch.cancel(r)
		r.cancelled = true
		r.fail(errCancelled)
		d.ended(r)
	}
	m.Send(known)
}

// loadAsked reads the load report.
type loadAsked struct{ ring.Reply[loadReport] }

func (m loadAsked) handle(d *duty, now time.Time) {
	d.history.observe(now, d.report)
	m.Send(d.history.report(now))
}

// eventsAsked reads the cache events after a number.
type eventsAsked struct {
	ring.Reply[eventsAnswer]
	after int64
}

func (m eventsAsked) handle(d *duty, now time.Time) { m.Send(d.events.since(m.after, now)) }

// orderGiven gives an order.
type orderGiven struct {
	ring.Reply[orders.Answer]
	order orders.Order
}

func (m orderGiven) handle(d *duty, now time.Time) {
	rules := orders.Rules{CheckFence: d.config.CheckFence, LoadTime: milliseconds(d.config.LoadTimeMS)}
	err := d.batch.standing.Obey(m.order, rules, now)
	d.stats.Orders.Add(m.order, err, now)
	m.Send(orders.Answer{Fence: d.batch.standing.HighestFence, Err: err})
}

// settingsChanged says which faults are in force.
type settingsChanged struct{ settings front.Settings }

func (m settingsChanged) handle(d *duty, _ time.Time) { d.batch.settings = m.settings }

// stateLost makes the engine forget all, as a crash does.
type stateLost struct{ life int }

func (m stateLost) handle(d *duty, _ time.Time) {
	d.lose()
	d.life = m.life
}

// statsAsked reads the counters.
type statsAsked struct{ ring.Reply[Stats] }

func (m statsAsked) handle(d *duty, _ time.Time) {
	stats := d.stats.copy()
	stats.Role = d.batch.standing.Role
	m.Send(stats)
}
