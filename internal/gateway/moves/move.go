package moves

import (
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/canary"
	"kingcupcourse/internal/decision/catalog"
	decision "kingcupcourse/internal/decision/move"
	"kingcupcourse/internal/decision/trial"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/message"
)

const (
	// usedExposure is the part of the operator's exposure that is used. The
	// rest covers the steps of the ramp, in which a fault that needs load
	// shows.
	usedExposure = 0.8
	// usedFree is the same for the requests beyond the share.
	usedFree = 0.8
	// addedErrors and missedProof are the share of added errors that makes a
	// version bad, and the chance that one that is as bad is taken as proved.
	// Moves here last seconds, in which an unproved version gets some dozen
	// requests on each route; the ramp goes on watching.
	addedErrors, missedProof = 0.3, 0.05
	// writeMargin is how long before the operator's deadline a move ends, so
	// that the answer is written by then.
	writeMargin = time.Second
	// drainTime is how long at most requests in progress on the old version
	// may take before the operator is told that it may stop.
	drainTime = 3 * time.Second
)

// The parts of an order's duration that the steps of a move take, and their
// bounds. A short move must have proved the version by about its middle.
const (
	stepPart, soakPart, revertPart = 16, 8, 12
	leastStep, mostStep            = 300 * time.Millisecond, decision.DefaultStepDuration
	leastSoak, mostSoak            = 500 * time.Millisecond, 30 * time.Second
	leastRevert, mostRevert        = 600 * time.Millisecond, decision.DefaultRevertMargin
)

// move is one order in progress.
type move struct {
	order    catalog.Order
	exposure Exposure
	// began is when the order was given, as far as known.
	began time.Time
	plan  decision.Plan
	ready bool // an endpoint of the target is listed
	set   *trial.Set

	// held tells that this host holds the move; revision is that of the record
	// in the store, beat its renewals, written when it was last written.
	held     bool
	revision uint64
	beat     uint64
	written  time.Time
	status   decision.Status
	bad      *message.BadVersion

	// seen is the revision of another holder's record, and since when.
	seen      uint64
	seenSince time.Time
}

func newMove(order catalog.Order, exposure Exposure) *move {
	m := &move{order: order, exposure: exposure, began: order.ObservedAt, set: newTrials(order.Service)}
	m.exposure.FreeRequests = int(usedFree * float64(exposure.FreeRequests))
	m.schedule()
	return m
}

func newTrials(service string) *trial.Set {
	settings := canary.DefaultSettings()
	settings.ErrorRateIncrease, settings.FalseProofRate = addedErrors, missedProof
	return trial.NewSetWith(service, settings)
}

// schedule fits the steps of the move into the time that is left for it.
func (m *move) schedule() {
	part := func(of int, least, most time.Duration) time.Duration {
		return min(max(m.order.Duration/time.Duration(of), least), most)
	}
	m.plan = decision.Plan{
		Name: m.order.Service, Pool: m.order.Service, From: m.plan.From, To: m.order.Target,
		MaxShare: usedExposure * m.exposure.MaxShare, Deadline: m.began.Add(m.order.Duration - writeMargin),
		Soak: part(soakPart, leastSoak, mostSoak), StepDuration: part(stepPart, leastStep, mostStep),
		RevertMargin: part(revertPart, leastRevert, mostRevert), AllowUnproved: true,
	}
}

// follow takes over the order's answer and the endpoints.
func (m *move) follow(order catalog.Order, endpoints []catalog.Endpoint) {
	if order.Revision > m.order.Revision { // a watch may be behind this host's own answer
		m.order = order
	}
	count := map[core.Version]int{}
	m.ready = false
	for _, e := range endpoints {
		switch {
		case e.Service != order.Service || e.Draining:
		case e.Version == order.Target:
			m.ready = true
		default:
			count[e.Version]++
		}
	}
	for version, n := range count {
		if m.plan.From == "" || n > count[m.plan.From] {
			m.plan.From = version
		}
	}
}

// observe takes an outcome as evidence.
func (d *Duty) observe(o Outcome, now time.Time) {
	m := d.moves[o.Pool]
	if m == nil || !m.held {
		return
	}
	kind := core.KindService
	if o.IsModel {
		kind = core.KindModel
	}
	if o.Version != m.order.Target {
		o.Version = m.plan.From // all others are taken together
	}
	m.watch(now)
	place := trial.EndpointState{Kind: kind, Running: o.Running, Slots: o.Slots}
	for _, found := range m.set.Observe(&o.Outcome, place, now) {
		d.logFound(m, found)
		if !found.MoveDone {
			m.bad = &found.BadVersion
			d.publish() // no more traffic, before anything is written
			d.next = now
		}
	}
}

// watch brings the trial in line with the stage.
func (m *move) watch(now time.Time) {
	planned := manifest.Move{Name: m.plan.Name, Pool: m.plan.Pool, FromVersion: m.plan.From, ToVersion: m.plan.To}
	m.set.Sync(&manifest.Manifest{Moves: []manifest.Move{planned}}, map[string]message.MoveStage{
		m.plan.Name: {Move: m.plan.Name, Pool: m.plan.Pool, ToVersion: m.plan.To, Stage: m.status.Stage},
	}, now)
}
