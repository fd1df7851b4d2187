package mover

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/message"
)

const (
	pathOrders = "/v1/orders"
	pathLoad   = "/v1/load"

	orderLoad   = "load"
	orderUnload = "unload"

	stateReady = "ready"
	// loadSpacing is the shortest time between two load orders, because the
	// weight store limits its rate.
	loadSpacing = 500 * time.Millisecond
	// lastPlacement is how long after a revert a host that has not heard of
	// it may still place a request, and a load report not show it yet.
	lastPlacement = 3 * time.Second
)

// order is an order to an endpoint. It is safe to give twice or late: it
// names the version, and where requests go never depends on it.
type order struct {
	Order   string       `json:"order"`
	Version core.Version `json:"version"`
	Fence   uint64       `json:"fence"`
}

// orderBook is what was ordered in the present stage.
type orderBook struct {
	given    map[string]bool
	last     time.Time
	complete bool
}

// giveOrders gives the orders of the present stage that are still due.
func (m *Mover) giveOrders(ctx context.Context) {
	switch m.status.Stage {
	case message.StageLoading:
		m.orderAll(ctx, orderLoad, loadSpacing)
	case message.StageReverted:
		m.orderAll(ctx, orderUnload, 0)
	case message.StageDone:
		m.orders.complete = true
	}
}

// orderAll gives one order to each endpoint of the new version that has not
// obeyed it in this stage, no faster than the spacing.
func (m *Mover) orderAll(ctx context.Context, what string, spacing time.Duration) {
	if m.orders.given == nil {
		m.orders.given = map[string]bool{}
	}
	missing := 0
	for _, e := range m.endpoints(m.move.ToVersion) {
		if m.orders.given[e.Name] {
			continue
		}
		missing++
		if time.Since(m.orders.last) < spacing || (what == orderUnload && !m.idle(ctx, e)) {
			continue
		}
		m.orders.last = time.Now()
		if m.give(ctx, e, what) {
			m.orders.given[e.Name] = true
			missing--
		}
	}
	m.orders.complete = missing == 0
}

// give gives one order and tells whether the endpoint obeyed.
func (m *Mover) give(ctx context.Context, e manifest.Endpoint, what string) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var ignored struct{}
	err := codec.Call(ctx, m.config.Client, e.Address, pathOrders,
		order{Order: what, Version: m.move.ToVersion, Fence: m.held.Fence}, &ignored)
	m.log.Info("order", zap.String("order", what), zap.String("endpoint", e.Name),
		zap.Uint64("fence", m.held.Fence), zap.Error(err))
	var refused *codec.CallError
	if errors.As(err, &refused) && refused.Status == http.StatusConflict {
		// The endpoint has seen a higher fencing number, so another host
		// holds the move now.
		m.stepDown("an endpoint refused the fencing number")
	}
	return err == nil
}

// idle tells whether nothing runs or waits on an endpoint, so that an unload
// cuts off no request. The load report lags, so it counts only a while after
// the last request could have been placed.
func (m *Mover) idle(ctx context.Context, e manifest.Endpoint) bool {
	if time.Since(time.UnixMilli(m.status.SinceUnixMS)) < lastPlacement {
		return false
	}
	report, ok := m.load(ctx, e)
	return ok && report.Running == 0 && report.Waiting == 0
}

// loadReport is the part of an endpoint's load report that a mover needs.
type loadReport struct {
	Version core.Version `json:"version"`
	State   string       `json:"state"`
	Running int          `json:"running"`
	Waiting int          `json:"waiting"`
}

// ready tells whether every endpoint of the new version serves it. An
// endpoint is asked only after its load order, so that an old report is not
// taken for the answer.
func (m *Mover) ready(ctx context.Context) bool {
	endpoints := m.endpoints(m.move.ToVersion)
	if len(endpoints) == 0 || !m.orders.complete {
		return false
	}
	for _, e := range endpoints {
		if !m.serves(ctx, e) {
			return false
		}
	}
	return true
}

func (m *Mover) serves(ctx context.Context, e manifest.Endpoint) bool {
	report, ok := m.load(ctx, e)
	return ok && report.State == stateReady && report.Version == m.move.ToVersion
}

// load asks an endpoint for its load report.
func (m *Mover) load(ctx context.Context, e manifest.Endpoint) (loadReport, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var report loadReport
	err := codec.Fetch(ctx, m.config.Client, e.Address, pathLoad, &report)
	return report, err == nil
}
