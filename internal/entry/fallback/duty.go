// Package fallback is the duty that places requests on endpoints while no
// scheduler answers. It owns what this host has placed by itself.
package fallback

import (
	"context"
	"time"

	"kingcupcourse/internal/control"
	"kingcupcourse/internal/core"
	decision "kingcupcourse/internal/decision/fallback"
	"kingcupcourse/internal/ring"
)

// ringCapacity bounds the messages that wait for the duty.
const ringCapacity = 1024

// Message is what the duty takes from its ring: Place or Free.
type Message interface {
	handle(d *Duty, now time.Time)
}

// Place asks for an endpoint. The answer comes when there is one.
type Place struct {
	ring.Reply[PlaceReply]
	Request decision.Request
}

// PlaceReply answers a Place with a grant or a refusal.
type PlaceReply struct {
	Grant   core.Grant
	Refusal *core.Refusal
}

// Release ends an attempt. It follows every Place that was put in the ring.
type Release struct {
	Attempt string
}

// Config tells the duty what it needs to know.
type Config struct {
	// Fraction is this host's part of each endpoint's slots. Default 1
	// divided by the number of entry hosts known.
	Fraction float64
	// Views is where the newest view is published.
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

// Inbox is where messages for the duty are put.
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

// updateView takes over a newer view if there is one.
func (d *Duty) updateView() {
	if view, ok := d.config.Views.TryTake(); ok {
		fraction := decision.HostFraction(d.config.Fraction, view.Members)
		know := decision.ClusterState{Draining: view.Draining, BadVersions: view.BadVersions, Moves: view.Moves}
		d.placer.SetEndpoints(decision.EligibleEndpoints(view.Manifest, know, fraction))
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
