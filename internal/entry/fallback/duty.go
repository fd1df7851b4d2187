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
	ring.Reply[Placed]
	Request decision.Request
}

// Placed answers a Place with a grant or a refusal.
type Placed struct {
	Grant   core.Grant
	Refusal *core.Refusal
}

// Free ends an attempt. It follows every Place that was put in the ring.
type Free struct {
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
	state   *decision.Placer
	waiters map[string]ring.Reply[Placed] // by attempt
}

// New returns the duty.
func New(config Config) *Duty {
	return &Duty{
		config:  config,
		inbox:   ring.New[Message]("entry_fallback", ringCapacity),
		state:   decision.NewPlacer(),
		waiters: map[string]ring.Reply[Placed]{},
	}
}

// Inbox is where messages for the duty are put.
func (d *Duty) Inbox() *ring.Ring[Message] { return d.inbox }

// Serve implements supervisor.Duty.
func (d *Duty) Serve(ctx context.Context) error {
	return ring.LoopUntil(ctx, d.inbox, func(m Message) error {
		d.refresh()
		m.handle(d, time.Now())
		return nil
	}, d.state.NextDeadline, func() error {
		d.answer(d.state.Place(time.Now()))
		return nil
	})
}

// refresh takes over a newer view if there is one.
func (d *Duty) refresh() {
	if view, ok := d.config.Views.TryTake(); ok {
		fraction := decision.HostFraction(d.config.Fraction, view.Members)
		know := decision.ClusterState{Draining: view.Draining, BadVersions: view.BadVersions, Moves: view.Moves}
		d.state.SetEndpoints(decision.EligibleEndpoints(view.Manifest, know, fraction))
	}
}

func (m Place) handle(d *Duty, now time.Time) {
	d.waiters[m.Request.Attempt] = m.Reply
	d.answer(d.state.Add(m.Request, now))
}

func (m Free) handle(d *Duty, now time.Time) {
	delete(d.waiters, m.Attempt)
	d.state.Release(m.Attempt)
	d.answer(d.state.Place(now))
}

func (d *Duty) answer(placements []decision.Placement) {
	for _, p := range placements {
		result := "placed"
		if p.Refusal != nil {
			result = string(p.Refusal.Reason)
		}
		placementsTotal.WithLabelValues(result).Inc()
		d.waiters[p.Attempt].Send(Placed{Grant: p.Grant, Refusal: p.Refusal})
		delete(d.waiters, p.Attempt)
	}
}
