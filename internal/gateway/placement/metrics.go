package placement

import "github.com/prometheus/client_golang/prometheus"

var (
	refusedAboveShare = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "kingcup_gateway_refused_above_share_total",
		Help: "Placements refused because the account uses more than its share of the endpoints.",
	})
	coldEndpoints = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "kingcup_gateway_cold_endpoints",
		Help: "Endpoints that are cold, or may be after a failure, as this host knows them.",
	})
	coldGrantedTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_gateway_cold_granted_total",
		Help: "Requests placed by this host on endpoints that were not warm, by the endpoint's state.",
	}, []string{"state"})
	coldHeldTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_gateway_cold_held_total",
		Help: "Cold endpoints passed over for a request, by reason (rate, not_owner, alone, other_view).",
	}, []string{"reason"})
	evacuationSince = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "kingcup_gateway_evacuation_since_seconds",
		Help: "Unix time since when this host sends nothing new to an evacuated availability zone.",
	}, []string{"availability_zone"})
	evacuationRunning = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "kingcup_gateway_evacuation_running",
		Help: "Attempts of this host that still run in an evacuated availability zone.",
	}, []string{"availability_zone"})
)

// Collectors returns the metrics of the placement.
func Collectors() []prometheus.Collector {
	return []prometheus.Collector{refusedAboveShare, coldEndpoints, coldGrantedTotal, coldHeldTotal, evacuationSince, evacuationRunning}
}
