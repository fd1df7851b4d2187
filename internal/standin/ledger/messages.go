package ledger

import (
	"time"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/standin/faultserver"
	"kingcupcourse/internal/standin/orders"
)

// taskReply is the result of a task, or the reason why it has none.
type taskReply struct {
	result  result
	version string
	err     error
}

// runTask queues a task. The reply comes when it is done.
type runTask struct {
	ring.Reply[taskReply]
	task task
}

func (m runTask) handle(d *duty, _ time.Time) {
	if err := d.enqueue(m); err != nil {
		m.Send(taskReply{err: err})
	}
}

// loadReport is the body of the response to a load call. A ledger has no tokens:
// it reports its requests as outstanding tokens.
type loadReport struct {
	AsOfUnixMS        int64  `json:"as_of_unix_ms"`
	Version           string `json:"version"`
	State             string `json:"state"`
	Slots             int    `json:"slots"`
	Running           int    `json:"running"`
	Waiting           int    `json:"waiting"`
	OutstandingTokens int    `json:"outstanding_tokens"`
	FreeCacheTokens   int    `json:"free_cache_tokens"`
}

// getLoad reads the load report.
type getLoad struct{ ring.Reply[loadReport] }

func (m getLoad) handle(d *duty, now time.Time) {
	m.Send(loadReport{
		AsOfUnixMS:        now.UnixMilli(),
		Version:           d.status.Version,
		State:             d.status.State,
		Slots:             d.config.Concurrency,
		Running:           len(d.running),
		Waiting:           len(d.waiting),
		OutstandingTokens: len(d.running) + len(d.waiting),
	})
}

// applyOrder carries out an order.
type applyOrder struct {
	ring.Reply[orders.Result]
	order orders.Order
}

func (m applyOrder) handle(d *duty, now time.Time) {
	options := orders.Options{CheckFence: d.config.CheckFence, LoadTime: milliseconds(d.config.LoadTimeMS)}
	err := d.status.Apply(m.order, options, now)
	d.stats.Orders.Add(m.order, err, now)
	m.Send(orders.Result{Fence: d.status.HighestFence, Err: err})
}

// updateSettings sets the faults that are in force.
type updateSettings struct{ settings faultserver.Settings }

func (m updateSettings) handle(d *duty, _ time.Time) { d.settings = m.settings }

// resetState discards the state of the ledger, as a crash does.
type resetState struct{ generation int }

func (m resetState) handle(d *duty, _ time.Time) {
	d.reset()
	d.generation = m.generation
}

// getStats reads the counters.
type getStats struct{ ring.Reply[Stats] }

func (m getStats) handle(d *duty, _ time.Time) { m.Send(d.copyStats()) }
