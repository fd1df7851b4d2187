package callers

import (
	"net"
	"net/http"
	"time"

	"kingcupcourse/internal/httpclient"
)

const (
	// endpointDialTimeout bounds a connection attempt to an endpoint.
	endpointDialTimeout = time.Second
	// endpointIdleTimeout is how long an idle connection is kept. It is below
	// the minimum progress timeout because a connection keeps the read
	// deadline of its last request.
	endpointIdleTimeout = 500 * time.Millisecond
	// maxIdlePerEndpoint is how many idle connections to an endpoint are kept.
	maxIdlePerEndpoint = 128
	// maxAnswerHeaderBytes bounds the header of an endpoint's response.
	maxAnswerHeaderBytes = 64 << 10
)

// transports holds the HTTP transports to endpoints. Retryable requests share
// pooled connections. Run-once requests, resumes and probes each open a new
// connection: a pooled connection that has gone silent would leave their
// outcome unknown.
type transports struct {
	pooled, unpooled *httpclient.Transport
}

func newTransports() *transports {
	return &transports{pooled: newTransport(false), unpooled: newTransport(true)}
}

func newTransport(unpooled bool) *httpclient.Transport {
	return &httpclient.Transport{Transport: &http.Transport{
		DialContext:            httpclient.DialContext(&net.Dialer{Timeout: endpointDialTimeout}),
		DisableKeepAlives:      unpooled,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerEndpoint,
		IdleConnTimeout:        endpointIdleTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}}
}

// closeIdle closes the idle connections: on stop, and when a connection has
// gone silent, because the idle ones may be affected too.
func (t *transports) closeIdle() { t.pooled.CloseIdleConnections() }
