package admission

import (
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"kingcupcourse/internal/decision/poison"
)

// evidenceOrigin is where a host has evidence from, as in logs and metrics.
type evidenceOrigin string

const (
	// originHost is what this host has observed itself.
	originHost evidenceOrigin = "host"
	// originPeer is what other hosts have observed.
	originPeer evidenceOrigin = "peer"
)

var evidenceTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
	Name: "kingcup_gateway_evidence_total",
	Help: "Deaths of endpoints, and answers that clear parts of prompts, by kind (death or answer) and origin (host or peer).",
}, []string{"kind", "origin"})

// Collectors returns the metrics of the duty.
func Collectors() []prometheus.Collector { return []prometheus.Collector{evidenceTotal} }

// recordEvidence records evidence, and logs which parts of prompts are refused or
// accepted again because of it.
func (d *Duty) recordEvidence(e poison.Evidence, origin evidenceOrigin, now time.Time) {
	kind := "death"
	if e.Endpoint == "" {
		kind = "answer"
	}
	evidenceTotal.WithLabelValues(kind, string(origin)).Inc()
	before := d.poisonMarks.RefusedParts(e.Parts, now)
	d.poisonMarks.Record(e, now)
	after := d.poisonMarks.RefusedParts(e.Parts, now)
	for _, part := range e.Parts {
		switch was, is := slices.Contains(before, part), slices.Contains(after, part); {
		case is && !was:
			d.Log.Warn("prompt part refused", zap.String("part", part), zap.String("endpoint", e.Endpoint), zap.String("origin", string(origin)))
		case was && !is:
			d.Log.Info("prompt part accepted again", zap.String("part", part), zap.String("origin", string(origin)))
		}
	}
}
