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
	// usedExposureShare is the part of the operator's exposure limit that is
	// used. The rest covers the ramp, during which faults that occur only under
	// load appear.
	usedExposureShare = 0.8
	// usedFreeShare is the same for the free requests.
	usedFreeShare = 0.8
	// maxAddedErrorRate is the share of added errors that makes a version bad,
	// falseProofRate the probability that such a version is considered proved.
	// The moves take only seconds, in which an unproved version gets a few dozen
	// requests per route; the version is still observed during the ramp.
	maxAddedErrorRate, falseProofRate = 0.3, 0.05
	// writeMargin is how long before the operator's deadline a move ends, so that
	// its status is written in time.
	writeMargin = time.Second
	// maxDrainTime is how long requests in progress on the old version may take
	// before the operator is told that the version may be stopped.
	maxDrainTime = 3 * time.Second
)

// Divisors of an order's duration that give the durations of a move's steps, and
// the bounds of those durations. A short move must prove the version by about
// half of its time.
const (
	stepDivisor, soakDivisor, revertDivisor = 16, 8, 12
	minStep, maxStep                        = 300 * time.Millisecond, decision.DefaultStepDuration
	minSoak, maxSoak                        = 500 * time.Millisecond, 30 * time.Second
	minRevert, maxRevert                    = 600 * time.Millisecond, decision.DefaultRevertMargin
)

// move is one order in progress.
type move struct {
	order    catalog.Order
	exposure Exposure
	// statusLost reports that the store does not hold the final state of the order any
	// more, as it came back from a copy.
	statusLost bool
	// orderedAt is the earliest known time of the order.
	orderedAt   time.Time
	plan        decision.Plan
	targetReady bool // an endpoint of the target is listed
	trials      *trial.Set

	// held reports that this host holds the move. revision is the revision of its
	// record in the store, heartbeat the count of renewals, lastWrite the time of
	// the last write.
	held       bool
	revision   uint64
	heartbeat  uint64
	lastWrite  time.Time
	status     decision.Status
	badVersion *message.BadVersion

	// seenRevision is the last revision seen of another holder's record, seenSince
	// the time since which it has been unchanged.
	seenRevision uint64
	seenSince    time.Time
}

func newMove(order catalog.Order, exposure Exposure) *move {
	m := &move{order: order, exposure: exposure, orderedAt: order.ObservedAt, trials: newTrials(order.Service)}
	m.exposure.FreeRequests = int(usedFreeShare * float64(exposure.FreeRequests))
	m.schedule()
	return m
}

func newTrials(service string) *trial.Set {
	settings := canary.DefaultSettings()
	settings.ErrorRateIncrease, settings.FalseProofRate = maxAddedErrorRate, falseProofRate
	return trial.NewSetWith(service, settings)
}

// schedule derives the durations of the move's steps and its deadline from the
// order.
func (m *move) schedule() {
	fraction := func(divisor int, minimum, maximum time.Duration) time.Duration {
		return min(max(m.order.Duration/time.Duration(divisor), minimum), maximum)
	}
	m.plan = decision.Plan{
		Name: m.order.Service, Pool: m.order.Service, From: m.plan.From, To: m.order.Target,
		MaxShare: usedExposureShare * m.exposure.MaxShare, Deadline: m.orderedAt.Add(m.order.Duration - writeMargin),
		Soak: fraction(soakDivisor, minSoak, maxSoak), StepDuration: fraction(stepDivisor, minStep, maxStep),
		RevertMargin: fraction(revertDivisor, minRevert, maxRevert), AllowUnproved: true,
	}
}

// updateOrder applies the order's newest revision and the listed endpoints.
func (m *move) updateOrder(order catalog.Order, endpoints []catalog.Endpoint) {
	if order.Revision > m.order.Revision { // a watch may lag behind this host's own write
		state := m.order.State
		m.order, m.statusLost = order, false
		if state.Finished() && order.State != state {
			m.order.State, m.statusLost = state, true
		}
	}
	count := map[core.Version]int{}
	m.targetReady = false
	for _, e := range endpoints {
		switch {
		case e.Service != order.Service || e.Draining:
		case e.Version == order.Target:
			m.targetReady = true
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

// observe records an outcome as evidence for or against a version.
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
		o.Version = m.plan.From // all other versions count as one
	}
	m.syncTrials(now)
	state := trial.EndpointState{Kind: kind, Running: o.Running, Slots: o.Slots}
	for _, finding := range m.trials.Observe(&o.Outcome, state, now) {
		d.logFinding(m, finding)
		if !finding.MoveDone {
			m.badVersion = &finding.BadVersion
			d.publish() // stop the traffic before anything is written
			d.nextTick = now
		}
	}
}

// syncTrials updates the trials to the current stage.
func (m *move) syncTrials(now time.Time) {
	planned := manifest.Move{Name: m.plan.Name, Pool: m.plan.Pool, FromVersion: m.plan.From, ToVersion: m.plan.To}
	m.trials.Sync(&manifest.Manifest{Moves: []manifest.Move{planned}}, map[string]message.MoveStage{
		m.plan.Name: {Move: m.plan.Name, Pool: m.plan.Pool, ToVersion: m.plan.To, Stage: m.status.Stage},
	}, now)
}
