package ledger

import (
	"time"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/standin/front"
	"kingcupcourse/internal/standin/orders"
)

// workAnswer is the result of a request, or why it has none.
type workAnswer struct {
	result  result
	version string
	err     error
}

// workAsked asks for a task to be done.
type workAsked struct {
	ring.Reply[workAnswer]
	task task
}

func (m workAsked) handle(d *duty, _ time.Time) {
	if err := d.submit(m); err != nil {
		m.Send(workAnswer{err: err})
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

// loadAsked reads the load report.
type loadAsked struct{ ring.Reply[loadReport] }

func (m loadAsked) handle(d *duty, now time.Time) {
	m.Send(loadReport{
		AsOfUnixMS:        now.UnixMilli(),
		Version:           d.standing.Version,
		State:             d.standing.State,
		Slots:             d.config.Concurrency,
		Running:           len(d.running),
		Waiting:           len(d.waiting),
		OutstandingTokens: len(d.running) + len(d.waiting),
	})
}

// orderGiven gives an order.
type orderGiven struct {
	ring.Reply[orders.Answer]
	order orders.Order
}

func (m orderGiven) handle(d *duty, now time.Time) {
	rules := orders.Rules{CheckFence: d.config.CheckFence, LoadTime: milliseconds(d.config.LoadTimeMS)}
	err := d.standing.Obey(m.order, rules, now)
	d.stats.Orders.Add(m.order, err, now)
	m.Send(orders.Answer{Fence: d.standing.HighestFence, Err: err})
}

// settingsChanged says which faults are in force.
type settingsChanged struct{ settings front.Settings }

func (m settingsChanged) handle(d *duty, _ time.Time) { d.settings = m.settings }

// stateLost makes the ledger forget all, as a crash does.
type stateLost struct{ life int }

func (m stateLost) handle(d *duty, _ time.Time) {
	d.lose()
	d.life = m.life
}

// statsAsked reads the counters.
type statsAsked struct{ ring.Reply[Stats] }

func (m statsAsked) handle(d *duty, _ time.Time) { m.Send(d.copyStats()) }
