// Package connections keeps the connections of a host to the endpoints. Its duty
// owns the idle ones and hands each to one request at a time; what may carry which
// request is decided in decision/keepalive. Sending is left to net/http.
package connections

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/decision/keepalive"
	gatewaycatalog "kingcupcourse/internal/gateway/catalog"
	"kingcupcourse/internal/gateway/fleet"
	"kingcupcourse/internal/httpclient"
	"kingcupcourse/internal/ring"
)

const (
	// inboxCapacity bounds the queued messages. A request that finds the ring full
	// gets a new connection.
	inboxCapacity = 1024
	// DialTimeout bounds a connection attempt to an endpoint. The network latency
	// is a few milliseconds; an endpoint that does not accept within the timeout
	// is considered unreachable while there is time to try another endpoint.
	DialTimeout = 250 * time.Millisecond
	// lostIdleTimeout closes a connection that was opened for a request that ended
	// meanwhile, which the pool does not know.
	lostIdleTimeout = keepalive.MaxIdle + time.Second
	// maxResponseHeaderBytes bounds the header of a response.
	maxResponseHeaderBytes = 64 << 10
	// maxIdle bounds the idle connections of a host, with their buffers.
	maxIdle = 256
	// sweepInterval is the time between two searches for connections to close.
	sweepInterval = 500 * time.Millisecond
	// logInterval is the time between two log lines about connections.
	logInterval = 10 * time.Second
	// forgetAfter is how long an endpoint without idle connections is remembered.
	forgetAfter = 30 * time.Second
)

// Config holds the dependencies of the pool.
type Config struct {
	Snapshots gatewaycatalog.Subscription
	Hosts     fleet.Hosts
	Log       *zap.Logger
}

// message is a message to the duty.
type message interface{ handle(p *Pool, now time.Time) }

// Pool implements supervisor.Duty.
type Pool struct {
	Config
	inbox     *ring.Ring[message]
	transport *httpclient.Transport
	names     atomic.Uint64

	services  map[string]catalog.Service
	hosts     int
	endpoints map[string]*endpoint // by address
	idle      int
	nextSweep time.Time
	counts    tally
	loggedAt  time.Time
}

// New returns the pool.
func New(config Config) *Pool {
	return &Pool{Config: config, inbox: ring.New[message]("gateway_connections", inboxCapacity),
		transport: newTransport(), hosts: 1, endpoints: map[string]*endpoint{}, counts: tally{}}
}

func newTransport() *httpclient.Transport {
	dial := httpclient.DialContext(&net.Dialer{Timeout: DialTimeout})
	return &httpclient.Transport{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			address, ok := ctx.Value(addressKey{}).(string)
			if !ok {
				return nil, errNoAddress
			}
			connection, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: connection}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        lostIdleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}

// newName returns a name for a connection that is still to be opened.
func (p *Pool) newName() string { return "c" + strconv.FormatUint(p.names.Add(1), 10) }

// Serve implements supervisor.Duty.
func (p *Pool) Serve(ctx context.Context) error {
	defer p.closeAll()
	return ring.LoopUntil(ctx, p.inbox, func(m message) error {
		p.takeNews()
		m.handle(p, time.Now())
		return nil
	}, func() time.Time { return p.nextSweep }, func() error {
		p.takeNews()
		p.sweep(time.Now())
		return nil
	})
}

func (p *Pool) takeNews() {
	if snapshot, ok := p.Snapshots.TryTake(); ok && snapshot.Configuration != nil {
		p.services = snapshot.Configuration.Services
	}
	if hosts, ok := p.Hosts.TryTake(); ok {
		p.hosts = hosts.Len()
	}
}

// take asks for the name of an idle connection, or of a new one.
type take struct {
	ring.Reply[string]
	lease *Lease
}

func (m take) handle(p *Pool, now time.Time) {
	e, repeatable := p.endpoint(m.lease.request.Endpoint, now), m.lease.request.Repeatable
	e.WaitingSince = e.firstWaiting()
	reason := reasonNoneIdle
	for i := len(e.idle) - 1; i >= 0; i-- {
		c := e.idle[i]
		verdict := p.judge(e, c, repeatable, now)
		if verdict == keepalive.TooOldForOnce || verdict == keepalive.Silent {
			reason = string(verdict)
			break // the others have been idle for longer
		}
		e.idle = slices.Delete(e.idle, i, i+1)
		p.idle--
		if verdict == keepalive.Usable {
			c.conn.idle.Store(false)
			e.waiting[m.lease] = now
			reusedTotal.WithLabelValues(strconv.FormatBool(repeatable)).Inc()
			p.counts["reused"]++
			m.Send(c.name)
			return
		}
		reason = string(verdict)
		p.close(c, reason)
	}
	openedTotal.WithLabelValues(strconv.FormatBool(repeatable), reason).Inc()
	p.counts["opened_"+reason]++
	idleConnections.Set(float64(p.idle))
	m.Send(p.newName())
}

// answered reports that the answer to a request has begun.
type answered struct{ lease *Lease }

func (m answered) handle(p *Pool, now time.Time) {
	e := p.endpoint(m.lease.request.Endpoint, now)
	e.heardAt = now
	delete(e.waiting, m.lease)
}

// give returns a connection after a request.
type give struct {
	lease  *Lease
	result Result
}

func (m give) handle(p *Pool, now time.Time) {
	l := m.lease
	e := p.endpoint(l.request.Endpoint, now)
	delete(e.waiting, l)
	if l.conn == nil && !m.result.Fault {
		return
	}
	if m.result.Fault {
		e.FaultAt = now
		p.closeIdle(e, string(keepalive.AfterFault))
	}
	if l.conn == nil || !l.conn.idle.Load() {
		p.countClosed(l.causeOfClose(m.result))
		return
	}
	e.idle = append(e.idle, idleConn{conn: l.conn, name: l.name, Connection: keepalive.Connection{
		IdleSince: now, Stated: m.result.KeepAlive, Incarnation: l.request.Endpoint.StartedAt}})
	p.idle++
	if len(e.idle) > keepalive.Capacity(p.services[e.service].MaxConnections, p.hosts) || p.idle > maxIdle {
		p.close(e.idle[0], causeOverCapacity)
		e.idle = slices.Delete(e.idle, 0, 1)
		p.idle--
	}
	idleConnections.Set(float64(p.idle))
	if p.nextSweep.IsZero() {
		p.nextSweep = now.Add(sweepInterval)
	}
}

// causeOfClose returns why the connection was not kept.
func (l *Lease) causeOfClose(result Result) string {
	switch {
	case l.conn == nil:
		return causeUnreachable
	case result.Fault && l.reused:
		return causeFaultReused
	case result.Fault:
		return causeFaultNew
	case !l.ended:
		return causeUnread
	}
	return causeNotKept
}

// sweep closes the connections that may carry no request any more.
func (p *Pool) sweep(now time.Time) {
	for address, e := range p.endpoints {
		e.idle = slices.DeleteFunc(e.idle, func(c idleConn) bool {
			verdict := p.judge(e, c, true, now)
			if verdict.Keeps() {
				return false
			}
			p.idle--
			p.close(c, string(verdict))
			return true
		})
		if len(e.idle) == 0 && len(e.waiting) == 0 && now.Sub(e.usedAt) > forgetAfter {
			delete(p.endpoints, address)
		}
	}
	idleConnections.Set(float64(p.idle))
	if now.Sub(p.loggedAt) >= logInterval && len(p.counts) > 0 {
		p.Log.Info("connections to endpoints", append(p.counts.fields(), zap.Int("idle", p.idle))...)
		p.counts, p.loggedAt = tally{}, now
	}
	if p.nextSweep = now.Add(sweepInterval); p.idle == 0 && len(p.counts) == 0 {
		p.nextSweep = time.Time{}
	}
}

// closeAll closes all idle connections when the duty ends.
func (p *Pool) closeAll() {
	for _, e := range p.endpoints {
		p.closeIdle(e, causeStopped)
	}
	p.transport.CloseIdleConnections()
}
