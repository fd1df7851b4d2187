package queue

import (
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/health"
	"kingcupcourse/internal/decision/outstanding"
	"kingcupcourse/internal/decision/prefix"
	"kingcupcourse/internal/scheduler/inbox"
)

// endpoint is the state of one endpoint as known to the queue.
type endpoint struct {
	core.Endpoint
	// version is the version that it reported last.
	version core.Version
	state   inbox.EndpointState
	// drainingSince is when an entry last reported that the endpoint drains,
	// zero if a newer load report says that it is ready.
	drainingSince time.Time
	health        health.Endpoint
	cache         *prefix.Cache
}

func (d *Duty) updateEndpoints(endpoints []core.Endpoint) {
	updated := make(map[string]*endpoint, len(endpoints))
	for _, e := range endpoints {
		known := d.endpoints[e.Name]
		if known == nil || known.Address != e.Address {
			known = &endpoint{version: e.Version, state: inbox.EndpointReady, cache: prefix.NewCache(prefix.DefaultBlocks)}
		}
		if known.Endpoint.Version != e.Version {
			known.version = e.Version
		}
		known.Endpoint = e
		updated[e.Name] = known
	}
	d.endpoints = updated
}

// applyLoadReport updates an endpoint from its load report.
func (d *Duty) applyLoadReport(r inbox.LoadReport, now time.Time) {
	e := d.endpoints[r.Endpoint]
	if e == nil {
		return
	}
	e.health.RecordLoadReport(!r.Failed)
	if r.Failed {
		return
	}
	if e.version != r.Version && r.Version != "" {
		e.version = r.Version
		e.cache.Reset()
	}
	e.state = r.State
	if r.AsOf.After(e.drainingSince) && r.State == inbox.EndpointReady {
		e.drainingSince = time.Time{}
	}
	d.attempts.SetLoadReport(e.Name, outstanding.LoadReport{AsOf: r.AsOf, Requests: r.InFlight, Received: now})
}

func (d *Duty) applyCacheEvents(m inbox.CacheEvents) {
	e := d.endpoints[m.Endpoint]
	if e == nil {
		return
	}
	for _, event := range m.Events {
		if event.Stored {
			e.cache.Add(event.Block)
			continue
		}
		e.cache.Remove(event.Block)
	}
}

// isDraining reports whether an endpoint gets no new work because it drains.
func (d *Duty) isDraining(e *endpoint) bool {
	return d.view.Draining[e.Name] || e.state == inbox.EndpointDraining || !e.drainingSince.IsZero()
}

// isReady reports whether an endpoint serves requests according to its last
// report. An empty state counts as ready.
func isReady(e *endpoint) bool { return e.state == inbox.EndpointReady || e.state == "" }
