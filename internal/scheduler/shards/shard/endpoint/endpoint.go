// Package endpoint is the duty that asks one endpoint for its load and its
// cache events and tells the shard's queue.
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
	// pollInterval is the time between two questions.
	pollInterval = 500 * time.Millisecond
	// pollTimeout bounds one question.
	pollTimeout = 400 * time.Millisecond

	pathLoad        = "/v1/load"
	pathCacheEvents = "/v1/cache_events"
	eventStored     = "stored"
)

// Duty polls one endpoint.
type Duty struct {
	endpoint core.Endpoint
	// hasCache tells that the endpoint has a prefix hasCache.
	hasCache    bool
	queue       *ring.Ring[inbox.QueueMessage]
	client      *http.Client
	cacheCursor uint64
}

// New returns a duty that polls the endpoint. The client is shared between
// the endpoints of a process.
func New(e core.Endpoint, kind core.Kind, queue *ring.Ring[inbox.QueueMessage], client *http.Client) *Duty {
	return &Duty{endpoint: e, hasCache: kind == core.KindModel, queue: queue, client: client}
}

// loadReport is an engine's loadReport report.
type loadReport struct {
	AsOfUnixMS int64        `json:"as_of_unix_ms"`
	Version    core.Version `json:"version"`
	State      string       `json:"state"`
	Running    int          `json:"running"`
	Waiting    int          `json:"waiting"`
}

// cacheEvents is an engine's list of cache changes.
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

// poll asks once. It returns an error only when ctx has ended.
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
	var l loadReport
	if err := codec.Fetch(ctx, d.client, d.endpoint.Address, pathLoad, &l); err != nil {
		return inbox.LoadReport{Endpoint: d.endpoint.Name, Failed: true}
	}
	return inbox.LoadReport{
		Endpoint: d.endpoint.Name,
		AsOf:     time.UnixMilli(l.AsOfUnixMS),
		Received: time.Now(),
		Version:  l.Version,
		State:    inbox.EndpointState(l.State),
		InFlight: l.Running + l.Waiting,
	}
}

func (d *Duty) fetchCacheEvents(ctx context.Context) []inbox.CacheEvent {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var answer cacheEvents
	path := pathCacheEvents + "?after=" + strconv.FormatUint(d.cacheCursor, 10)
	if err := codec.Fetch(ctx, d.client, d.endpoint.Address, path, &answer); err != nil {
		return nil
	}
	d.cacheCursor = answer.Next
	events := make([]inbox.CacheEvent, len(answer.Events))
	for i, e := range answer.Events {
		events[i] = inbox.CacheEvent{Block: e.Block, Stored: e.Kind == eventStored}
	}
	return events
}
