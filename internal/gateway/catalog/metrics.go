package catalog

import "github.com/prometheus/client_golang/prometheus"

var (
	configurationVersion = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "kingcup_gateway_configuration_version",
		Help: "Version of the configuration in force.",
	})
	endpointsKnown = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "kingcup_gateway_endpoints",
		Help: "Endpoints that the host believes in.",
	})
	storeCalls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_gateway_store_calls_total",
		Help: "Calls to the platform's store by the followers, by prefix and result.",
	}, []string{"prefix", "result"})
)

// Collectors returns the catalog's metrics.
func Collectors() []prometheus.Collector {
	return []prometheus.Collector{configurationVersion, endpointsKnown, storeCalls}
}
