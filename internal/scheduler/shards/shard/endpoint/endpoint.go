// Package endpoint implements the duty that polls one endpoint for its load and
// cache events and forwards them to the shard's queue.
package endpoint

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/scheduler/inbox"
)

const (
	// pollInterval is the pause between two polls.
	pollInterval = 500 * time.Millisecond
	// pollTimeout limits each request of a poll.
	pollTimeout = 400 * time.Millisecond

	pathLoad        = "/v1/load"
	pathCacheEvents = "/v1/cache_events"
	eventStored     = "stored"
)

// Duty polls one endpoint for load reports and cache events.
type Duty struct {
	endpoint core.Endpoint
	// hasCache is set if the endpoint has a prefix cache.
	hasCache    bool
	queue       *ring.Ring[inbox.QueueMessage]
	client      *http.Client
	cacheCursor uint64
}

// New returns a duty that polls the endpoint. All endpoint duties of a process
// share the client.
func New(e core.Endpoint, kind core.Kind, queue *ring.Ring[inbox.QueueMessage], client *http.Client) *Duty {
	return &Duty{endpoint: e, hasCache: kind == core.KindModel, queue: queue, client: client}
}

// loadReport is an engine's load report.
type loadReport struct {
	AsOfUnixMS int64        `json:"as_of_unix_ms"`
	Version    core.Version `json:"version"`
	State      string       `json:"state"`
	Running    int          `json:"running"`
	Waiting    int          `json:"waiting"`
}

// cacheEvents is a page of an engine's list of cache changes.
type cacheEvents struct {
	Next   uint64       `json:"next"`
	Events []cacheEvent `json:"events"`
}

type cacheEvent struct {
	Kind  string `json:"kind"`
	Block string `json:"block"`
}

// Serve implements supervisor.Duty.
func (d *Duty) Serve(ctx context.Context) error {
	for {
		if err := d.poll(ctx); err != nil {
			return err
		}
		if err := ring.Pause(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// poll queries the endpoint once. It returns an error only if ctx has ended.
func (d *Duty) poll(ctx context.Context) error {
	if err := d.queue.Put(ctx, d.fetchLoad(ctx)); err != nil {
		return err
	}
	if !d.hasCache {
		return nil
	}
	events := d.fetchCacheEvents(ctx)
	if len(events) == 0 {
		return nil
	}
	return d.queue.Put(ctx, inbox.CacheEvents{Endpoint: d.endpoint.Name, Events: events})
}

func (d *Duty) fetchLoad(ctx context.Context) inbox.LoadReport {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var report loadReport
	if err := codec.Fetch(ctx, d.client, d.endpoint.Address, pathLoad, &report); err != nil {
		return inbox.LoadReport{Endpoint: d.endpoint.Name, Failed: true}
	}
	return inbox.LoadReport{
		Endpoint: d.endpoint.Name,
		AsOf:     time.UnixMilli(report.AsOfUnixMS),
		Received: time.Now(),
		Version:  report.Version,
		State:    inbox.EndpointState(report.State),
		InFlight: report.Running + report.Waiting,
	}
}

func (d *Duty) fetchCacheEvents(ctx context.Context) []inbox.CacheEvent {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var page cacheEvents
	path := pathCacheEvents + "?after=" + strconv.FormatUint(d.cacheCursor, 10)
	if err := codec.Fetch(ctx, d.client, d.endpoint.Address, path, &page); err != nil {
		return nil
	}
	d.cacheCursor = page.Next
	events := make([]inbox.CacheEvent, len(page.Events))
	for i, e := range page.Events {
		events[i] = inbox.CacheEvent{Block: e.Block, Stored: e.Kind == eventStored}
	}
	return events
}
