package callers

import (
	"net"
	"net/http"
	"time"
)

const (
	// endpointDialTimeout bounds a connection attempt to an endpoint.
	endpointDialTimeout = time.Second
	// endpointIdleTimeout is how long an unused connection is kept. It is
	// below the least progress timeout, for a connection keeps the read
	// deadline of its last request.
	endpointIdleTimeout = 500 * time.Millisecond
	// maxIdlePerEndpoint is how many unused connections are kept.
	maxIdlePerEndpoint = 128
	// maxAnswerHeaderBytes bounds the header of an answer.
	maxAnswerHeaderBytes = 64 << 10
)

// transports holds the connections to transports. Requests that may be
// repeated share kept connections. A run-once request, a resume and a probe
// each get a new one: a kept connection that has gone silent would leave
// their fate unknown.
type transports struct {
	pooled, unpooled *http.Transport
}

func newTransports() *transports {
	return &transports{pooled: newTransport(false), unpooled: newTransport(true)}
}

func newTransport(fresh bool) *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: endpointDialTimeout}).DialContext,
		DisableKeepAlives:      fresh,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerEndpoint,
		IdleConnTimeout:        endpointIdleTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}
}

// closeIdle closes the unused connections: after one went silent its
// siblings are suspect.
func (e *transports) closeIdle() { e.pooled.CloseIdleConnections() }
