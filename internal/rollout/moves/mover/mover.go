// Package mover implements the duty that takes one planned move through its
// stages while it holds the move's lease.
package mover

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"kingcupcourse/internal/control"
	"kingcupcourse/internal/decision/lease"
	"kingcupcourse/internal/decision/move"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/supervisor"
)

// Config holds what all movers of a process share.
type Config struct {
	// Host is the name of the local host.
	Host string
	// LeaseDuration is how long a lease lasts without a renewal.
	LeaseDuration time.Duration
	Platform      *platform.Client
	// Client calls endpoints and schedulers.
	Client *http.Client
	// PublishFact sends a fact to all hosts.
	PublishFact func(message.Fact) error
	Log         *zap.Logger
}

const (
	// stepInterval is the time between two steps while the lease is held.
	stepInterval = 300 * time.Millisecond
	// releaseTimeout limits the release of the lease when the process stops.
	releaseTimeout = time.Second
)

// Mover executes one planned move. None of its state needs to survive a restart:
// it is read from the platform whenever the mover acquires the lease.
type Mover struct {
	config Config
	move   manifest.Move
	views  control.Subscription
	log    *zap.Logger

	view *control.View
	// holderID identifies this run of the duty in the lease, so that a
	// restarted process never mistakes its predecessor's lease for its own.
	holderID     string
	lease        lease.Lease
	leaseVersion uint64
	holdsLease   bool

	status        message.MoveStatus
	statusVersion uint64
	statusLoaded  bool // the status was read since the lease was acquired

	verdictWritten bool
	orders         orderProgress
	nextStep       time.Time
}

// New returns a mover for the move.
func New(config Config, m manifest.Move, views control.Subscription) *Mover {
	return &Mover{config: config, move: m, views: views,
		holderID: config.Host + "/" + uuid.NewString(),
		log:      config.Log.With(zap.String("move", m.Name), zap.String("pool", m.Pool))}
}

// Serve implements supervisor.Duty. It returns supervisor.ErrDone once the move
// has ended and its final orders have been sent.
func (m *Mover) Serve(ctx context.Context) error {
	err := m.step(ctx)
	for err == nil {
		if err = ring.Pause(ctx, time.Until(m.nextStep)); err == nil {
			err = m.step(ctx)
		}
	}
	m.releaseLease(context.WithoutCancel(ctx))
	return err
}

// step acquires or renews the lease if that is due and, while the mover holds
// it, advances the move.
func (m *Mover) step(ctx context.Context) error {
	m.nextStep = time.Now().Add(stepInterval)
	if view, ok := m.views.TryTake(); ok {
		m.view = view
	}
	if m.view == nil || m.view.Manifest == nil {
		return nil
	}
	if !m.ensureLease(ctx) {
		// Hosts without the lease check less often, with jitter so that they do
		// not all contend for it at the same time.
		m.nextStep = time.Now().Add(m.config.LeaseDuration/4 + rand.N(m.config.LeaseDuration/4))
		return m.endIfFinished()
	}
	if !m.statusLoaded && !m.readStatus(ctx) {
		return nil
	}
	if m.isNameTaken() {
		return supervisor.ErrDone
	}
	m.advance(ctx)
	if m.isFinished() && m.sendFinalOrders(ctx) {
		return supervisor.ErrDone
	}
	return nil
}

// endIfFinished ends a mover that does not hold the lease once another host has
// ended the move.
func (m *Mover) endIfFinished() error {
	stage := m.view.Moves[m.move.Name].Stage
	if stage == message.StageDone || stage == message.StageReverted {
		return supervisor.ErrDone
	}
	return nil
}

func (m *Mover) isFinished() bool {
	return m.status.Stage == message.StageDone || m.status.Stage == message.StageReverted
}

// advance decides on the next status and writes it before acting on it, so that
// the next holder knows everything that may have taken effect.
func (m *Mover) advance(ctx context.Context) {
	now := time.Now()
	current := move.Status{Stage: m.status.Stage, Share: m.status.Share, Reason: m.status.Reason,
		Since: time.UnixMilli(m.status.SinceUnixMS), Requests: m.status.Requests}
	inputs := m.gatherInputs(ctx)
	next := move.Next(m.plan(), current, now, inputs)
	if inputs.Bad != nil && !m.writeVerdict(ctx, inputs.Bad) {
		return
	}
	if next.Stage != current.Stage || next.Share != current.Share {
		m.writeStatus(ctx, next, inputs)
		return
	}
	m.sendOrders(ctx)
}

func (m *Mover) plan() move.Plan {
	return move.Plan{
		Name:     m.move.Name,
		Pool:     m.move.Pool,
		From:     m.move.FromVersion,
		To:       m.move.ToVersion,
		Deadline: time.UnixMilli(m.move.DeadlineUnixMS),
		MaxShare: m.move.MaxShare,
		Soak:     time.Duration(m.move.SoakMS) * time.Millisecond,
	}
}
