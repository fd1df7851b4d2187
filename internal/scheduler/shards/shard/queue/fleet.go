package queue

import (
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/health"
	"kingcupcourse/internal/decision/outstanding"
	"kingcupcourse/internal/decision/prefix"
	"kingcupcourse/internal/scheduler/inbox"
)

// endpoint is what the queue knows of one endpoint.
type endpoint struct {
	core.Endpoint
	// version is the version it runs, as it reported last.
	version core.Version
	state   inbox.EndpointState
	// leavingSince is when an entry was told by it that it leaves, zero if
	// a newer load report says otherwise.
	leavingSince time.Time
	health       health.Endpoint
	cache        *prefix.Cache
}

func (d *Duty) updateEndpoints(endpoints []core.Endpoint) {
	fleet := make(map[string]*endpoint, len(endpoints))
	for _, e := range endpoints {
		known := d.endpoints[e.Name]
		if known == nil || known.Address != e.Address {
			known = &endpoint{version: e.Version, state: inbox.EndpointReady, cache: prefix.NewCache(prefix.DefaultBlocks)}
		}
		if known.Endpoint.Version != e.Version {
			known.version = e.Version
		}
		known.Endpoint = e
		fleet[e.Name] = known
	}
	d.endpoints = fleet
}

// applyLoadReport takes an endpoint's load report in.
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
	if r.AsOf.After(e.leavingSince) && r.State == inbox.EndpointReady {
		e.leavingSince = time.Time{}
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

// isLeaving tells whether an endpoint gets no new work because it leaves.
func (d *Duty) isLeaving(e *endpoint) bool {
	return d.view.Draining[e.Name] || e.state == inbox.EndpointDraining || !e.leavingSince.IsZero()
}

// isReady tells whether an endpoint has reported that it serves.
func isReady(e *endpoint) bool { return e.state == inbox.EndpointReady || e.state == "" }
