package callers

import (
	"io"

	"github.com/prometheus/client_golang/prometheus"

	"kingcupcourse/internal/gateway/placement"
)

var (
	crossZoneAttempts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_gateway_cross_zone_attempts_total",
		Help: "Attempts at endpoints of another availability zone, by why they left that of the host.",
	}, []string{"cause"})
	crossZoneBytes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_gateway_cross_zone_bytes_total",
		Help: "Bytes of request and answer bodies of these attempts, by direction (request or answer).",
	}, []string{"direction"})
)

// recordZone counts an attempt that left the zone of this host.
func (c *call) recordZone(placed placement.Placed) {
	if placed.LeftZone == "" {
		return
	}
	crossZoneAttempts.WithLabelValues(string(placed.LeftZone)).Inc()
	crossZoneBytes.WithLabelValues("request").Add(float64(len(c.body)))
	crossZoneBytes.WithLabelValues("answer").Add(float64(c.answerBytes))
}

// countingBody counts the bytes read from a response.
type countingBody struct {
	io.ReadCloser
	count *int64
}

// Read implements io.Reader.
func (b countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	*b.count += int64(n)
	return n, err
}
