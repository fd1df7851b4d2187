package callers

import "github.com/prometheus/client_golang/prometheus"

// latencyBuckets range from 1 ms (a local lookup) to 131 s (a long
// generation).
var latencyBuckets = prometheus.ExponentialBuckets(0.001, 2, 18)

// overheadBuckets range from 10 us to 0.33 s.
var overheadBuckets = prometheus.ExponentialBuckets(0.00001, 2, 16)

var (
	requestsTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_entry_requests_total",
		Help: "Requests by how they ended: an attempt's result, a refusal's disposition, or replayed.",
	}, []string{"route", "tier", "result"})
	refusalsTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_entry_refusals_total", Help: "Refusals by reason.",
	}, []string{"reason"})
	requestSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "kingcup_entry_request_seconds", Help: "Time from a request's arrival to its end.",
		Buckets: latencyBuckets,
	}, []string{"route", "tier"})
	firstTokenSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "kingcup_entry_first_token_seconds", Help: "Time from a request's arrival to its first token.",
		Buckets: latencyBuckets,
	}, []string{"route", "tier"})
	grantSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "kingcup_entry_grant_seconds", Help: "Time until a request was placed or refused, with its wait in the queue.",
		Buckets: latencyBuckets,
	})
	overheadSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "kingcup_entry_added_seconds", Help: "Time that the entry itself spent on admission and placement.",
		Buckets: overheadBuckets,
	})
	retriesTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_entry_retries_total", Help: "Retries by why they were allowed or not.",
	}, []string{"verdict"})
	resumesTotal = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "kingcup_entry_resumes_total", Help: "Tries to resume a stream on a new connection.",
	})
	probesTotal = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "kingcup_entry_probes_total", Help: "Checks of endpoints on a new connection.",
	})
	poisonMarksTotal = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "kingcup_entry_poison_marks_total", Help: "Endpoints that died under a request of this host.",
	})
)

// Collectors returns the metrics of this package.
func Collectors() []prometheus.Collector {
	return []prometheus.Collector{
		requestsTotal, refusalsTotal, requestSeconds, firstTokenSeconds, grantSeconds, overheadSeconds,
		retriesTotal, resumesTotal, probesTotal, poisonMarksTotal,
	}
}
