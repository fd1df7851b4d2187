package admission

import "github.com/prometheus/client_golang/prometheus"

var requestsInProgress = prometheus.NewGauge(prometheus.GaugeOpts{
	Name: "kingcup_entry_requests_in_progress",
	Help: "Requests between their opening and their end.",
})

// Collectors returns the metrics of this package.
func Collectors() []prometheus.Collector { return []prometheus.Collector{requestsInProgress} }
