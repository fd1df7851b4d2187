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
	// loadOrderInterval is the shortest time between two load orders, because the
	// weight store limits its rate.
	loadOrderInterval = 500 * time.Millisecond
	// placementLag is how long after a revert a host that has not heard of
	// it may still place a request, and a load report not show it yet.
	placementLag = 3 * time.Second
)

// order is an order to an endpoint. It is safe to give twice or late: it
// names the version, and where requests go never depends on it.
type order struct {
	Order   string       `json:"order"`
	Version core.Version `json:"version"`
	Fence   uint64       `json:"fence"`
}

// orderProgress is what was ordered in the present stage.
type orderProgress struct {
	obeyed   map[string]bool
	lastSent time.Time
	complete bool
}

// sendOrders gives the orders of the present stage that are still due.
func (m *Mover) sendOrders(ctx context.Context) {
	switch m.status.Stage {
	case message.StageLoading:
		m.orderEndpoints(ctx, orderLoad, loadOrderInterval)
	case message.StageReverted:
		m.orderEndpoints(ctx, orderUnload, 0)
	case message.StageDone:
		m.orders.complete = true
	}
}

// orderEndpoints gives one order to each endpoint of the new version that has not
// obeyed it in this stage, no faster than the spacing.
func (m *Mover) orderEndpoints(ctx context.Context, what string, spacing time.Duration) {
	if m.orders.obeyed == nil {
		m.orders.obeyed = map[string]bool{}
	}
	missing := 0
	for _, e := range m.endpoints(m.move.ToVersion) {
		if m.orders.obeyed[e.Name] {
			continue
		}
		missing++
		if time.Since(m.orders.lastSent) < spacing || (what == orderUnload && !m.isIdle(ctx, e)) {
			continue
		}
		m.orders.lastSent = time.Now()
		if m.sendOrder(ctx, e, what) {
			m.orders.obeyed[e.Name] = true
			missing--
		}
	}
	m.orders.complete = missing == 0
}

// sendOrder gives one order and tells whether the endpoint obeyed.
func (m *Mover) sendOrder(ctx context.Context, e manifest.Endpoint, what string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var ignored struct{}
	err := codec.Call(ctx, m.config.Client, e.Address, pathOrders,
		order{Order: what, Version: m.move.ToVersion, Fence: m.lease.Fence}, &ignored)
	m.log.Info("order", zap.String("order", what), zap.String("endpoint", e.Name),
		zap.Uint64("fence", m.lease.Fence), zap.Error(err))
	var refused *codec.CallError
	if errors.As(err, &refused) && refused.Status == http.StatusConflict {
		// The endpoint has seen a higher fencing number, so another host
		// holds the move now.
		m.dropLease("an endpoint refused the fencing number")
	}
	return err == nil
}

// isIdle tells whether nothing runs or waits on an endpoint, so that an unload
// cuts off no request. The load report lags, so it counts only a while after
// the last request could have been placed.
func (m *Mover) isIdle(ctx context.Context, e manifest.Endpoint) bool {
	if time.Since(time.UnixMilli(m.status.SinceUnixMS)) < placementLag {
		return false
	}
	report, ok := m.fetchLoad(ctx, e)
	return ok && report.Running == 0 && report.Waiting == 0
}

// loadReport is the part of an endpoint's load report that a mover needs.
type loadReport struct {
	Version core.Version `json:"version"`
	State   string       `json:"state"`
	Running int          `json:"running"`
	Waiting int          `json:"waiting"`
}

// allReady tells whether every endpoint of the new version serves it. An
// endpoint is asked only after its load order, so that an old report is not
// taken for the answer.
func (m *Mover) allReady(ctx context.Context) bool {
	endpoints := m.endpoints(m.move.ToVersion)
	if len(endpoints) == 0 || !m.orders.complete {
		return false
	}
	for _, e := range endpoints {
		if !m.servesNewVersion(ctx, e) {
			return false
		}
	}
	return true
}

func (m *Mover) servesNewVersion(ctx context.Context, e manifest.Endpoint) bool {
	report, ok := m.fetchLoad(ctx, e)
	return ok && report.State == stateReady && report.Version == m.move.ToVersion
}

// fetchLoad asks an endpoint for its fetchLoad report.
func (m *Mover) fetchLoad(ctx context.Context, e manifest.Endpoint) (loadReport, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var report loadReport
	err := codec.Fetch(ctx, m.config.Client, e.Address, pathLoad, &report)
	return report, err == nil
}
