package connections

import (
	"time"

	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/decision/keepalive"
)

// endpoint is what the pool knows of an endpoint.
type endpoint struct {
	keepalive.Endpoint
	service string
	idle    []idleConn // the longest idle one first
	// waiting holds the requests on reused connections that have no answer yet, with
	// their start.
	waiting map[*Lease]time.Time
	// heardAt is when an answer began last.
	heardAt, usedAt time.Time
}

// idleConn is an idle connection with its name in the transport.
type idleConn struct {
	keepalive.Connection
	*conn
	name string
}

// endpoint returns what is known of the endpoint, which is in use now.
func (p *Pool) endpoint(at catalog.Endpoint, now time.Time) *endpoint {
	e, ok := p.endpoints[at.Address]
	if !ok {
		e = &endpoint{waiting: map[*Lease]time.Time{}}
		p.endpoints[at.Address] = e
	}
	if !e.Incarnation.Equal(at.StartedAt) {
		e.Incarnation, e.ShortestClose = at.StartedAt, 0
	}
	e.service, e.usedAt = at.Service, now
	return e
}

// judge returns the verdict on an idle connection, or the cause for which it ended.
func (p *Pool) judge(e *endpoint, c idleConn, repeatable bool, now time.Time) keepalive.Verdict {
	switch {
	case c.unasked.Load():
		e.FaultAt = now
		return causeUnasked
	case c.closed.Load() || !c.silent():
		if idle := now.Sub(c.IdleSince); e.ShortestClose == 0 || idle < e.ShortestClose {
			e.ShortestClose = idle
		}
		return causeEndpointClosed
	}
	return keepalive.Judge(c.Connection, e.Endpoint, repeatable, now)
}

// firstWaiting returns the start of the first request on a reused connection that was
// sent since an answer began last and has none, zero if there is none.
func (e *endpoint) firstWaiting() time.Time {
	var first time.Time
	for _, since := range e.waiting {
		if since.After(e.heardAt) && (first.IsZero() || since.Before(first)) {
			first = since
		}
	}
	return first
}

func (p *Pool) closeIdle(e *endpoint, cause string) {
	for _, c := range e.idle {
		p.close(c, cause)
	}
	p.idle -= len(e.idle)
	e.idle = nil
}

func (p *Pool) close(c idleConn, cause string) {
	p.countClosed(cause)
	_ = c.conn.Close() // its error says only that it is closed already
}

func (p *Pool) countClosed(cause string) {
	closedTotal.WithLabelValues(cause).Inc()
	p.counts["closed_"+cause]++
}
