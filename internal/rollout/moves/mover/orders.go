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
	// loadOrderInterval is the minimum time between two load orders, because
	// the weight store limits its rate.
	loadOrderInterval = 500 * time.Millisecond
	// placementLag is how long after a revert a host that does not know of it
	// may still place a request that no load report shows yet.
	placementLag = 3 * time.Second
)

// order is an order to an endpoint. It is safe to send it twice or late: it
// names the version, and the routing of requests never depends on it.
type order struct {
	Order   string       `json:"order"`
	Version core.Version `json:"version"`
	Fence   uint64       `json:"fence"`
}

// orderProgress tracks the orders of the current stage.
type orderProgress struct {
	accepted map[string]bool
	lastSent time.Time
	complete bool
}

// sendOrders sends the pending orders of the current stage.
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

// orderEndpoints sends an order to each endpoint of the new version that has not
// accepted it in this stage, with the given minimum time between two orders.
func (m *Mover) orderEndpoints(ctx context.Context, kind string, minInterval time.Duration) {
	if m.orders.accepted == nil {
		m.orders.accepted = map[string]bool{}
	}
	pending := 0
	for _, e := range m.endpoints(m.move.ToVersion) {
		if m.orders.accepted[e.Name] {
			continue
		}
		pending++
		if time.Since(m.orders.lastSent) < minInterval || (kind == orderUnload && !m.isIdle(ctx, e)) {
			continue
		}
		m.orders.lastSent = time.Now()
		if m.sendOrder(ctx, e, kind) {
			m.orders.accepted[e.Name] = true
			pending--
		}
	}
	m.orders.complete = pending == 0
}

// sendOrder sends one order and reports whether the endpoint accepted it.
func (m *Mover) sendOrder(ctx context.Context, e manifest.Endpoint, kind string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var response struct{}
	err := codec.Call(ctx, m.config.Client, e.Address, pathOrders,
		order{Order: kind, Version: m.move.ToVersion, Fence: m.lease.Fence}, &response)
	m.log.Info("order", zap.String("order", kind), zap.String("endpoint", e.Name),
		zap.Uint64("fence", m.lease.Fence), zap.Error(err))
	var callError *codec.CallError
	if errors.As(err, &callError) && callError.Status == http.StatusConflict {
		// The endpoint has seen a higher fencing number, so another host holds
		// the move now.
		m.dropLease("an endpoint refused the fencing number")
	}
	return err == nil
}

// isIdle reports whether no request runs or waits on an endpoint, so that an
// unload interrupts none. Load reports lag, so they count only once
// placementLag has passed since the revert.
func (m *Mover) isIdle(ctx context.Context, e manifest.Endpoint) bool {
	if time.Since(time.UnixMilli(m.status.SinceUnixMS)) < placementLag {
		return false
	}
	report, ok := m.fetchLoad(ctx, e)
	return ok && report.Running == 0 && report.Waiting == 0
}

// loadReport holds the fields of an endpoint's load report that a mover needs.
type loadReport struct {
	Version core.Version `json:"version"`
	State   string       `json:"state"`
	Running int          `json:"running"`
	Waiting int          `json:"waiting"`
}

// allReady reports whether every endpoint of the new version serves it. It
// requires that all load orders were accepted, so that a load report from before
// an order does not count.
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

// fetchLoad requests the load report of an endpoint.
func (m *Mover) fetchLoad(ctx context.Context, e manifest.Endpoint) (loadReport, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var report loadReport
	err := codec.Fetch(ctx, m.config.Client, e.Address, pathLoad, &report)
	return report, err == nil
}
