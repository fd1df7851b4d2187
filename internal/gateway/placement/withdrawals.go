package placement

import (
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/decision/withdrawal"
)

// headerLogPeriod is the least time between two log lines about unreadable headers
// of endpoints.
const headerLogPeriod = time.Second

// EndpointSaid delivers what an endpoint said about itself in a response to this
// host.
type EndpointSaid struct {
	Endpoint catalog.Endpoint
	// Leaving reports that it takes no new requests until it restarts.
	Leaving bool
	// Rest is how long it wants no requests of this host.
	Rest time.Duration
	// Cold is how much longer it is cold.
	Cold time.Duration
	// Unreadable describes a header that could not be read, empty if there is
	// none.
	Unreadable string
}

func (m EndpointSaid) handle(d *Duty, now time.Time) {
	i := incarnation(m.Endpoint)
	if m.Leaving && d.withdrawals.Leave(i, now) {
		d.log.Info("endpoint says that it is leaving", zap.String("endpoint", m.Endpoint.Name), zap.String("service", m.Endpoint.Service))
	}
	if m.Rest > 0 {
		d.withdrawals.Rest(i, m.Rest, now)
		d.log.Info("endpoint wants no requests for some time", zap.String("endpoint", m.Endpoint.Name),
			zap.String("service", m.Endpoint.Service), zap.Duration("asked", m.Rest), zap.Duration("rest", d.withdrawals.RestLeft(i, now)))
	}
	d.warmup.saidCold(m.Endpoint, m.Cold, now)
	if m.Unreadable != "" && now.Sub(d.headerLoggedAt) >= headerLogPeriod {
		d.headerLoggedAt = now
		d.log.Warn("endpoint's header ignored", zap.String("endpoint", m.Endpoint.Name), zap.String("header", m.Unreadable))
	}
}

func incarnation(e catalog.Endpoint) withdrawal.Incarnation {
	return withdrawal.Incarnation{Endpoint: e.Name, StartedUnixMS: e.StartedAt.UnixMilli()}
}

// isDraining reports whether an endpoint takes no new requests, by its entry in the
// store or by its own word.
func (d *Duty) isDraining(e *endpoint) bool {
	return e.Draining || d.withdrawals.Leaving(incarnation(e.Endpoint))
}

// resting returns the service's endpoints that want no requests of this host, and
// the shortest time after which one of them takes requests again if no other
// endpoint does.
func (d *Duty) resting(service string, now time.Time) (names []string, wait time.Duration) {
	others := false
	for _, e := range d.services[service] {
		if d.isDraining(e) || d.evacuations.Evacuated(e.AvailabilityZone) {
			continue
		}
		left := d.withdrawals.RestLeft(incarnation(e.Endpoint), now)
		if left == 0 {
			others = true
			continue
		}
		names = append(names, e.Endpoint.Name)
		if wait == 0 || left < wait {
			wait = left
		}
	}
	if others {
		wait = 0
	}
	return names, wait
}
