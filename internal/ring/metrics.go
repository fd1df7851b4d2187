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

// stats counts what happens at the rings of one name.
type stats struct {
	mu     sync.Mutex
	depths []func() int

	refusals prometheus.Counter
	waits    prometheus.Counter
}

func (g *stats) register(depth func() int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.depths = append(g.depths, depth)
}

func (g *stats) depth() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	total := 0
	for _, depth := range g.depths {
		total += depth()
	}
	return total
}

func (g *stats) countRefused() { g.refusals.Inc() }
func (g *stats) countWaited()  { g.waits.Inc() }

var registry = struct {
	sync.Mutex
	byName map[string]*stats
}{byName: map[string]*stats{}}

func statsFor(name string) *stats {
	registry.Lock()
	defer registry.Unlock()
	if g, ok := registry.byName[name]; ok {
		return g
	}
	g := &stats{
		refusals: refusedTotal.WithLabelValues(name),
		waits:    waitedTotal.WithLabelValues(name),
	}
	registry.byName[name] = g
	return g
}

// Collector exports the depth, refusals and waits of every ring by name.
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
	depths := make(map[string]*stats, len(registry.byName))
	for name, g := range registry.byName {
		depths[name] = g
	}
	registry.Unlock()
	for name, g := range depths {
		out <- prometheus.MustNewConstMetric(depthDesc, prometheus.GaugeValue, float64(g.depth()), name)
	}
	refusedTotal.Collect(out)
	waitedTotal.Collect(out)
}
