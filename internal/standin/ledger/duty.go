package ledger

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"time"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/standin/faultserver"
	"kingcupcourse/internal/standin/orders"
)

var (
	errQueueFull = errors.New("ledger: too many requests wait")
	errOverload  = errors.New("ledger: planted failure above a number of running requests")
	errLost      = errors.New("ledger: the ledger crashed")
)

// notReadyError is returned for a request while the ledger is in a state in which
// it starts none.
type notReadyError struct{ state string }

func (n notReadyError) Error() string { return "ledger: " + n.state }

const (
	// maxCountedRuns limits the number of request ids that are counted
	// separately.
	maxCountedRuns = 1 << 20
	// crashRetryInterval is the time between attempts to make a busy server
	// crash.
	crashRetryInterval = 2 * time.Millisecond
)

// Stats are the counters of a ledger since its process started. A crash fault
// does not reset them.
type Stats struct {
	AvailabilityZone string `json:"availability_zone"`
	// Runs counts the executions per request id.
	Runs        map[string]int `json:"runs"`
	Started     int            `json:"started"`
	Finished    int            `json:"finished"`
	PeakRunning int            `json:"peak_running"`
	PeakWaiting int            `json:"peak_waiting"`
	Crashes     int            `json:"crashes"`
	// Lost counts the requests that a crash ended.
	Lost   int            `json:"lost"`
	Orders orders.History `json:"orders"`
}

// duty owns the accounts and the requests in progress.
type duty struct {
	inbox    *ring.Ring[message]
	config   Config
	settings faultserver.Settings
	status   orders.EndpointStatus
	accounts accounts
	stats    Stats
	waiting  []runTask
	// running is ordered by the time at which the requests end.
	running []activeTask
	// crash makes the server crash. If it fails, it must be called again.
	crash func() error
	// generation is the number of crashes so far.
	generation int
	// crashing means that a request that crashes the ledger has started, and
	// crashReported that crash has succeeded for it.
	crashing      bool
	crashReported bool
}

// activeTask is a request in progress.
type activeTask struct {
	message runTask
	due     time.Time
}

// message is a command or a query to the ledger duty.
type message interface{ handle(d *duty, now time.Time) }

// Serve implements supervisor.Duty.
func (d *duty) Serve(ctx context.Context) error {
	handle := func(m message) error {
		now := time.Now()
		d.advance(now)
		m.handle(d, now)
		d.advance(now)
		return nil
	}
	tick := func() error { d.advance(time.Now()); return nil }
	return ring.LoopUntil(ctx, d.inbox, handle, d.nextTick, tick)
}

// nextTick returns when the duty has to run without a message, zero for never.
func (d *duty) nextTick() time.Time {
	if d.crashing && !d.crashReported {
		return time.Now().Add(crashRetryInterval)
	}
	due := d.status.LoadDoneAt
	if len(d.running) == 0 || d.settings.Freeze || d.crashing {
		return due
	}
	if first := d.running[0].due; due.IsZero() || first.Before(due) {
		due = first
	}
	return due
}

// advance completes the requests that are due and starts waiting ones.
func (d *duty) advance(now time.Time) {
	d.status.FinishLoading(now)
	if d.crashing && !d.crashReported {
		d.crashReported = d.crash() == nil
	}
	if d.settings.Freeze || d.crashing {
		return
	}
	d.startWaiting(now)
	d.stats.PeakWaiting = max(d.stats.PeakWaiting, len(d.waiting))
	for !d.crashing && len(d.running) > 0 && !d.running[0].due.After(now) {
		ended := d.running[0]
		d.running = d.running[1:]
		ended.message.Send(d.execute(ended.message.task))
		d.stats.Finished++
		d.startWaiting(ended.due)
	}
}

func (d *duty) startWaiting(now time.Time) {
	for len(d.waiting) > 0 && len(d.running) < d.config.Concurrency && !d.crashing {
		m := d.waiting[0]
		d.waiting = d.waiting[1:]
		d.stats.Started++
		d.insertByDue(activeTask{message: m, due: now.Add(d.serviceTime())})
		d.stats.PeakRunning = max(d.stats.PeakRunning, len(d.running))
		d.crashing = d.settings.CrashOn != "" && bytes.Contains(m.task.body, []byte(d.settings.CrashOn))
	}
}

func (d *duty) serviceTime() time.Duration {
	return time.Duration(float64(milliseconds(d.config.ServiceTimeMS)) * d.settings.SlowFactor)
}

func (d *duty) insertByDue(t activeTask) {
	d.running = append(d.running, t)
	for i := len(d.running) - 1; i > 0 && t.due.Before(d.running[i-1].due); i-- {
		d.running[i-1], d.running[i] = d.running[i], d.running[i-1]
	}
}

// enqueue queues a request, or returns the reason for refusing it.
func (d *duty) enqueue(m runTask) error {
	switch {
	case m.task.generation != d.generation:
		return errLost
	case d.status.State != orders.Ready:
		return notReadyError{state: d.status.State}
	case len(d.waiting) >= d.config.MaxWaiting:
		return errQueueFull
	case d.settings.FailAboveRunning > 0 && len(d.running) >= d.settings.FailAboveRunning:
		return errOverload
	}
	d.waiting = append(d.waiting, m)
	return nil
}

// reset discards the accounts and all requests, as a crash does.
func (d *duty) reset() {
	for _, m := range d.waiting {
		m.Send(taskReply{err: errLost})
	}
	for _, t := range d.running {
		t.message.Send(taskReply{err: errLost})
	}
	d.stats.Lost += len(d.waiting) + len(d.running)
	d.waiting, d.running = nil, nil
	d.crashing, d.crashReported = false, false
	d.accounts = newAccounts()
	d.status = orders.NewStatus(d.config.Version)
	d.stats.Crashes++
}

func (d *duty) countRun(id string) {
	if _, known := d.stats.Runs[id]; known || len(d.stats.Runs) < maxCountedRuns {
		d.stats.Runs[id]++
	}
}

func (d *duty) copyStats() Stats {
	copied := d.stats
	copied.Runs = maps.Clone(copied.Runs)
	copied.Orders = copied.Orders.Copy()
	return copied
}
