package queue

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"kingcupcourse/internal/core"
)

var (
	depthGauge = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "kingcup_queue_depth",
		Help: "Requests that wait in the queue.",
	}, []string{"pool", "tier"})
	outstandingGauge = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "kingcup_outstanding_attempts",
		Help: "Attempts that the owner of the pool counts as in progress.",
	}, []string{"pool", "endpoint"})
	grantsTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_grants_total",
		Help: "Requests placed on an endpoint.",
	}, []string{"pool", "tier"})
	refusedTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_refused_total",
		Help: "Requests refused or withdrawn, by reason.",
	}, []string{"pool", "tier", "reason"})
	outcomesTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_outcomes_total",
		Help: "Outcomes reported by entry hosts.",
	}, []string{"pool", "result"})
	releasedTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_released_attempts_total",
		Help: "Attempts taken from the count without an outcome.",
	}, []string{"pool"})
	badVersionsTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_bad_versions_total",
		Help: "Versions judged bad by this scheduler.",
	}, []string{"pool"})
	lateFaultsTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_late_faults_total",
		Help: "Versions found bad after their move was done. They stay in force until operators act.",
	}, []string{"pool"})
	inversionsTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_tier_inversions_total",
		Help: "Requests refused for want of room while a less important one waited. Must stay zero.",
	}, []string{"pool"})
	grantWaitSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "kingcup_grant_wait_seconds",
		Help:    "Time from the arrival of a request to its grant.",
		Buckets: prometheus.ExponentialBuckets(0.0005, 2, 18),
	}, []string{"pool", "tier"})
	reservationSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    "kingcup_reservation_seconds",
		Help:    "Time to make the reservation of a run-once request durable.",
		Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
	})
	placementSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    "kingcup_placement_seconds",
		Help:    "Time to decide the placement of one request.",
		Buckets: prometheus.ExponentialBuckets(0.000001, 2, 16),
	})
)

// Collectors returns the metrics of the queue duties.
func Collectors() []prometheus.Collector {
	return []prometheus.Collector{depthGauge, outstandingGauge, grantsTotal, refusedTotal, outcomesTotal, releasedTotal,
		badVersionsTotal, lateFaultsTotal, inversionsTotal, grantWaitSeconds, reservationSeconds, placementSeconds}
}

func (d *Duty) observeDepth() {
	for tier := core.Tier(1); tier <= d.waiting.LowestTier(); tier++ {
		depthGauge.WithLabelValues(d.Shard.Pool, tierLabel(tier)).Set(float64(d.waiting.Depth(tier)))
	}
	for name := range d.endpoints {
		outstandingGauge.WithLabelValues(d.Shard.Pool, name).Set(float64(d.attempts.Running(name)))
	}
}

func tierLabel(t core.Tier) string { return strconv.Itoa(int(t)) }
