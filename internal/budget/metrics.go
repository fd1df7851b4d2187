package budget

import "github.com/prometheus/client_golang/prometheus"

var (
	connectionsHeld = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "kingcup_budget_connections",
		Help: "Open connections that count against the budget, by budget.",
	}, []string{"budget"})
	bytesHeld = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "kingcup_budget_bytes",
		Help: "Memory that the connections have reserved, in bytes, by budget.",
	}, []string{"budget"})
	refusedTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_budget_refused_total",
		Help: "Reservations refused for want of room, by budget and by what they were for (connection, or the phase of one).",
	}, []string{"budget", "for"})
	closedTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_budget_closed_total",
		Help: "Connections closed as they made no progress, by budget and by phase (idle, head, body, answer).",
	}, []string{"budget", "phase"})
)

// Collectors returns the metrics of the budgets.
func Collectors() []prometheus.Collector {
	return []prometheus.Collector{connectionsHeld, bytesHeld, refusedTotal, closedTotal}
}
