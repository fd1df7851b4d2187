package connections

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

var (
	openedTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_gateway_connections_opened_total",
		Help: "New connections to endpoints, by whether the request may be repeated and why no idle one was used.",
	}, []string{"repeatable", "reason"})
	reusedTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_gateway_connections_reused_total",
		Help: "Requests sent on an idle connection to an endpoint, by whether they may be repeated.",
	}, []string{"repeatable"})
	closedTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_gateway_connections_closed_total",
		Help: "Connections to endpoints that ended, by cause.",
	}, []string{"cause"})
	idleConnections = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "kingcup_gateway_connections_idle",
		Help: "Idle connections to endpoints.",
	})
)

// Collectors returns the metrics of the connections.
func Collectors() []prometheus.Collector {
	return []prometheus.Collector{openedTotal, reusedTotal, closedTotal, idleConnections}
}

// The causes for which a connection ends, besides the verdicts on idle ones.
const (
	causeEndpointClosed = "endpoint_closed"
	causeUnasked        = "unasked_bytes"
	causeOverCapacity   = "over_capacity"
	causeNotKept        = "not_kept"
	causeUnread         = "unread_rest"
	causeFaultNew       = "fault_new"
	causeFaultReused    = "fault_reused"
	causeUnreachable    = "unreachable"
	causeStopped        = "stopped"
)

// reasonNoneIdle is why a connection is new if there was no idle one at all.
const reasonNoneIdle = "none_idle"

// tally counts events between two log lines, so that their number is bounded.
type tally map[string]int

func (t tally) fields() []zap.Field {
	fields := make([]zap.Field, 0, len(t))
	for name, count := range t {
		fields = append(fields, zap.Int(name, count))
	}
	return fields
}
