package ring

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

var (
	depthDesc = prometheus.NewDesc("kingcup_ring_depth",
		"Messages waiting in the ring.", []string{"ring"}, nil)
	refusedTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_ring_refused_total",
		Help: "Messages refused because the ring was full.",
	}, []string{"ring"})
	waitedTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_ring_waited_total",
		Help: "Messages whose producer had to wait for room.",
	}, []string{"ring"})
)

// stats holds the metrics of all rings of one name.
type stats struct {
	mu     sync.Mutex
	depths []func() int

	refusals prometheus.Counter
	waits    prometheus.Counter
}

func (s *stats) register(depth func() int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.depths = append(s.depths, depth)
}

func (s *stats) depth() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, depth := range s.depths {
		total += depth()
	}
	return total
}

func (s *stats) countRefused() { s.refusals.Inc() }
func (s *stats) countWaited()  { s.waits.Inc() }

var registry = struct {
	sync.Mutex
	byName map[string]*stats
}{byName: map[string]*stats{}}

func statsFor(name string) *stats {
	registry.Lock()
	defer registry.Unlock()
	if s, ok := registry.byName[name]; ok {
		return s
	}
	s := &stats{
		refusals: refusedTotal.WithLabelValues(name),
		waits:    waitedTotal.WithLabelValues(name),
	}
	registry.byName[name] = s
	return s
}

// Collector exports the depths, refusals and waits of all rings by name.
type Collector struct{}

// Describe implements prometheus.Collector.
func (Collector) Describe(out chan<- *prometheus.Desc) {
	out <- depthDesc
	refusedTotal.Describe(out)
	waitedTotal.Describe(out)
}

// Collect implements prometheus.Collector.
func (Collector) Collect(out chan<- prometheus.Metric) {
	registry.Lock()
	byName := make(map[string]*stats, len(registry.byName))
	for name, s := range registry.byName {
		byName[name] = s
	}
	registry.Unlock()
	for name, s := range byName {
		out <- prometheus.MustNewConstMetric(depthDesc, prometheus.GaugeValue, float64(s.depth()), name)
	}
	refusedTotal.Collect(out)
	waitedTotal.Collect(out)
}
