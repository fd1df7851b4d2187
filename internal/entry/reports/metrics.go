package reports

import "github.com/prometheus/client_golang/prometheus"

var (
	reportsTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_entry_reports_total",
		Help: "Outcome reports by what became of them.",
	}, []string{"result"})
	outcomesDroppedTotal = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "kingcup_entry_outcomes_dropped_total",
		Help: "Outcomes dropped because too many waited for an owner.",
	})
)

// Collectors returns the metrics of this package.
func Collectors() []prometheus.Collector {
	return []prometheus.Collector{reportsTotal, outcomesDroppedTotal}
}
