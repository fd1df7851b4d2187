package owner

import (
	"github.com/prometheus/client_golang/prometheus"

	"kingcupcourse/internal/decision/journal"
)

var (
	writesTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_journal_writes_total",
		Help: "Writes of the journal, by what is known of their result.",
	}, []string{"pool", "result"})
	recordsPerWrite = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    "kingcup_journal_batch_records",
		Help:    "Records in the batch of one write.",
		Buckets: prometheus.ExponentialBuckets(1, 2, 12),
	})
	keysGauge = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "kingcup_journal_keys",
		Help: "Idempotency keys that the owner remembers.",
	}, []string{"pool"})
)

// Collectors returns the metrics of the journals.
func Collectors() []prometheus.Collector {
	return []prometheus.Collector{writesTotal, recordsPerWrite, keysGauge}
}

func countWrite(pool string, result journal.WriteResult) {
	writesTotal.WithLabelValues(pool, writeResultLabels[result]).Inc()
}

var writeResultLabels = map[journal.WriteResult]string{
	journal.WriteApplied:  "applied",
	journal.WriteConflict: "conflict",
	journal.WriteRejected: "rejected",
	journal.WriteUnknown:  "unknown",
}
