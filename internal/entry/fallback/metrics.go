package fallback

import "github.com/prometheus/client_golang/prometheus"

var placementsTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
	Name: "kingcup_entry_fallback_total",
	Help: "Requests that this host handled without a scheduler, by result.",
}, []string{"result"})

// Collectors returns the metrics of this package.
func Collectors() []prometheus.Collector { return []prometheus.Collector{placementsTotal} }
