package ledger

import (
	"time"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/standin/faultserver"
	"kingcupcourse/internal/standin/orders"
)

// taskReply is the result of a request, or why it has none.
type taskReply struct {
	result  result
	version string
	err     error
}

// runTask asks for a task to be done.
type runTask struct {
	ring.Reply[taskReply]
	task task
}

func (m runTask) handle(d *duty, _ time.Time) {
	if err := d.enqueue(m); err != nil {
		m.Send(taskReply{err: err})
	}
}

// loadReport is the body of the answer to a load call. A ledger has no
// tokens: the outstanding ones are its requests.
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

// applyOrder gives an order.
type applyOrder struct {
	ring.Reply[orders.Result]
	order orders.Order
}

func (m applyOrder) handle(d *duty, now time.Time) {
	rules := orders.Options{CheckFence: d.config.CheckFence, LoadTime: milliseconds(d.config.LoadTimeMS)}
	err := d.status.Apply(m.order, rules, now)
	d.stats.Orders.Add(m.order, err, now)
	m.Send(orders.Result{Fence: d.status.HighestFence, Err: err})
}

// updateSettings says which faults are in force.
type updateSettings struct{ settings faultserver.Settings }

func (m updateSettings) handle(d *duty, _ time.Time) { d.settings = m.settings }

// resetState makes the ledger forget all, as a crash does.
type resetState struct{ generation int }

func (m resetState) handle(d *duty, _ time.Time) {
	d.reset()
	d.generation = m.generation
}

// getStats reads the counters.
type getStats struct{ ring.Reply[Stats] }

func (m getStats) handle(d *duty, _ time.Time) { m.Send(d.copyStats()) }
