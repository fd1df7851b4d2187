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

// notReadyError is the error of a request that a ledger in this state does not
// start.
type notReadyError struct{ state string }

func (n notReadyError) Error() string { return "ledger: " + n.state }

const (
	// maxCountedRuns bounds the request ids that are counted one by one.
	maxCountedRuns = 1 << 20
	// crashRetryInterval is how soon a front that was busy is told again of a crash.
	crashRetryInterval = 2 * time.Millisecond
)

// Stats is what a ledger counted since its process started; a crash does
// not reset it.
type Stats struct {
	AvailabilityZone string `json:"availability_zone"`
	// Runs is how often each request id was run.
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

// duty is the duty that owns the book and the requests in progress.
type duty struct {
	inbox    *ring.Ring[message]
	config   Config
	settings faultserver.Settings
	status   orders.EndpointStatus
	accounts accounts
	stats    Stats
	waiting  []runTask
	// running is in the order in which the requests end.
	running []activeTask
	// crash tells the front to fall. It fails if it must be asked again.
	crash func() error
	// generation counts the crashes.
	generation int
	// crashing means that a request that crashes the ledger has started, and
	// crashTold that the front knows.
	crashing      bool
	crashReported bool
}

// activeTask is a request in progress.
type activeTask struct {
	message runTask
	due     time.Time
}

// message is what the ledger duty is told or asked.
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

// nextTick is when the duty has to wake up by itself.
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

// advance ends what is due and starts what has waited.
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
		asked := d.waiting[0]
		d.waiting = d.waiting[1:]
		d.stats.Started++
		d.insertByDue(activeTask{message: asked, due: now.Add(d.serviceTime())})
		d.stats.PeakRunning = max(d.stats.PeakRunning, len(d.running))
		d.crashing = d.settings.CrashOn != "" && bytes.Contains(asked.task.body, []byte(d.settings.CrashOn))
	}
}

func (d *duty) serviceTime() time.Duration {
	return time.Duration(float64(milliseconds(d.config.ServiceTimeMS)) * d.settings.SlowFactor)
}

func (d *duty) insertByDue(w activeTask) {
	d.running = append(d.running, w)
	for i := len(d.running) - 1; i > 0 && w.due.Before(d.running[i-1].due); i-- {
		d.running[i-1], d.running[i] = d.running[i], d.running[i-1]
	}
}

// enqueue takes a request in, or says why not.
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

// reset forgets the book and all requests, as a crash does.
func (d *duty) reset() {
	for _, m := range d.waiting {
		m.Send(taskReply{err: errLost})
	}
	for _, w := range d.running {
		w.message.Send(taskReply{err: errLost})
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
