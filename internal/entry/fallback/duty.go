// Package fallback implements the duty that places requests on endpoints while
// no scheduler answers. It owns the placements that this host made without a
// scheduler.
package fallback

import (
	"context"
	"time"

	"kingcupcourse/internal/control"
	"kingcupcourse/internal/core"
	decision "kingcupcourse/internal/decision/fallback"
	"kingcupcourse/internal/ring"
)

// ringCapacity bounds the messages that wait in the duty's ring.
const ringCapacity = 1024

// Message is a message to the duty: Place or Release.
type Message interface {
	handle(d *Duty, now time.Time)
}

// Place requests an endpoint. The reply is sent once the request is placed or
// refused.
type Place struct {
	ring.Reply[PlaceReply]
	Request decision.Request
}

// PlaceReply is the reply to a Place: a grant or a refusal.
type PlaceReply struct {
	Grant   core.Grant
	Refusal *core.Refusal
}

// Release ends an attempt and frees its slot. The sender must put one in the
// ring for every Place.
type Release struct {
	Attempt string
}

// Config configures the duty.
type Config struct {
	// Host is the name of this host.
	Host string
	// Fraction is this host's part of each endpoint's slots. Default: 1
	// divided by the number of known entry hosts.
	Fraction float64
	// Views delivers the newest view of the configuration and the shared state.
	Views control.Subscription
}

// Duty implements supervisor.Duty.
type Duty struct {
	config  Config
	inbox   *ring.Ring[Message]
	placer  *decision.Placer
	waiters map[string]ring.Reply[PlaceReply] // by attempt
}

// New returns the duty.
func New(config Config) *Duty {
	return &Duty{
		config:  config,
		inbox:   ring.New[Message]("entry_fallback", ringCapacity),
		placer:  decision.NewPlacer(),
		waiters: map[string]ring.Reply[PlaceReply]{},
	}
}

// Inbox returns the duty's ring.
func (d *Duty) Inbox() *ring.Ring[Message] { return d.inbox }

// Serve implements supervisor.Duty.
func (d *Duty) Serve(ctx context.Context) error {
	return ring.LoopUntil(ctx, d.inbox, func(m Message) error {
		d.updateView()
		m.handle(d, time.Now())
		return nil
	}, d.placer.NextDeadline, func() error {
		d.sendPlacements(d.placer.Place(time.Now()))
		return nil
	})
}

// updateView applies the newest view if it has not been applied yet.
func (d *Duty) updateView() {
	if view, ok := d.config.Views.TryTake(); ok {
		fraction := decision.HostFraction(d.config.Fraction, view.Members)
		state := decision.ClusterState{Draining: view.Draining, BadVersions: view.BadVersions, Moves: view.Moves}
		d.placer.SetEndpoints(decision.EligibleEndpoints(view.Manifest, state, d.config.Host, fraction))
	}
}

func (m Place) handle(d *Duty, now time.Time) {
	d.waiters[m.Request.Attempt] = m.Reply
	d.sendPlacements(d.placer.Add(m.Request, now))
}

func (m Release) handle(d *Duty, now time.Time) {
	delete(d.waiters, m.Attempt)
	d.placer.Release(m.Attempt)
	d.sendPlacements(d.placer.Place(now))
}

func (d *Duty) sendPlacements(placements []decision.Placement) {
	for _, p := range placements {
		result := "placed"
		if p.Refusal != nil {
			result = string(p.Refusal.Reason)
		}
		placementsTotal.WithLabelValues(result).Inc()
		d.waiters[p.Attempt].Send(PlaceReply{Grant: p.Grant, Refusal: p.Refusal})
		delete(d.waiters, p.Attempt)
	}
}
