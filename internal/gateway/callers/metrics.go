package callers

import "github.com/prometheus/client_golang/prometheus"

var (
	attemptsTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_gateway_attempts_total",
		Help: "Attempts at endpoints, by result and by who placed them (keeper or host).",
	}, []string{"result", "placed_by"})
	refusalsTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_gateway_refusals_total",
		Help: "Requests that got no endpoint's answer, by disposition and reason.",
	}, []string{"disposition", "reason"})
	refundedUnits = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "kingcup_gateway_refunded_units_total",
		Help: "Units given back to accounts for requests that were admitted and not run.",
	})
	abortedTotal = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "kingcup_gateway_broken_off_total",
		Help: "Answers that ended after a part had been passed on.",
	})
	lostAttemptsTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_gateway_lost_attempts_total",
		Help: "Attempts whose answers were lost, by what a new connection to the endpoint showed (accepts, refuses or silent).",
	}, []string{"port"})
	firstPartSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "kingcup_gateway_first_part_seconds",
		Help:    "Time from the receipt of a request to the first part of its answer, by priority.",
		Buckets: latencyBuckets,
	}, []string{"priority"})
	responseSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "kingcup_gateway_answer_seconds",
		Help:    "Time from the receipt of a request to the end of its answer, by priority.",
		Buckets: latencyBuckets,
	}, []string{"priority"})
)

// latencyBuckets are dense around the latency objectives of requests, 0.1 to
// 1 s.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1, 2.5, 5, 15}

// Collectors returns the metrics of the callers' handler.
func Collectors() []prometheus.Collector {
	return []prometheus.Collector{attemptsTotal, refusalsTotal, refundedUnits, abortedTotal, lostAttemptsTotal, firstPartSeconds, responseSeconds,
		crossZoneAttempts, crossZoneBytes}
}
