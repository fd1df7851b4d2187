package control

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the metrics of the control duties.
type metrics struct {
	manifestVersion   prometheus.Gauge
	manifestsRejected prometheus.Counter
	members           prometheus.Gauge
	facts             prometheus.Gauge
	peerBytes         *prometheus.CounterVec
	gossipCalls       *prometheus.CounterVec
	platformCalls     *prometheus.CounterVec
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		manifestVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "kingcup_manifest_version", Help: "Version of the manifest in force."}),
		manifestsRejected: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "kingcup_manifests_rejected_total", Help: "Manifests refused because of their findings."}),
		members: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "kingcup_members", Help: "Processes believed to be alive, this one included."}),
		facts: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "kingcup_facts", Help: "Facts held."}),
		peerBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kingcup_control_bytes_total",
			Help: "Bytes on the connections that the control duties of this process opened to peers."},
			[]string{"direction"}),
		gossipCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kingcup_gossip_calls_total", Help: "Gossip calls made by this process."}, []string{"result"}),
		platformCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kingcup_platform_watch_calls_total", Help: "Watch calls to the platform."},
			[]string{"prefix", "result"}),
	}
	if registry != nil {
		registry.MustRegister(m.manifestVersion, m.manifestsRejected, m.members, m.facts,
			m.peerBytes, m.gossipCalls, m.platformCalls)
	}
	return m
}
