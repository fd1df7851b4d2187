// Package move decides the next stage of a planned version move. It holds no
// state: everything it needs is the plan, the status as the platform has it,
// and what is known now. So any holder can go on where another stopped, and
// deciding twice does no harm.
package move

import (
	"cmp"
	"fmt"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/canary"
	"kingcupcourse/internal/message"
)

// Plan is a move as the manifest describes it.
type Plan struct {
	Name     string
	Pool     string
	From, To core.Version
	Deadline time.Time
	// MaxShare is the largest share of traffic while the version is unproved.
	MaxShare float64
	// Soak is how long the version is watched at the largest ramp share.
	Soak time.Duration
	// StepDuration is the shortest time at each share of the ramp, and RevertMargin how long
	// before the deadline a revert begins, so that every host has stopped using
	// the version by the deadline. Zero stands for DefaultStep and RevertTime.
	StepDuration, RevertMargin time.Duration
	// AllowUnproved lets the ramp begin at the last moment for it with a version
	// that is not proved, if all evidence speaks for it. A service with little
	// traffic can't prove a version within seconds.
	AllowUnproved bool
}

func (p *Plan) stepDuration() time.Duration { return cmp.Or(p.StepDuration, DefaultStepDuration) }

func (p *Plan) revertMargin() time.Duration { return cmp.Or(p.RevertMargin, DefaultRevertMargin) }

// Status is how far a move has come.
type Status struct {
	Stage message.Stage
	Share float64
	// Since is when the stage and share were set.
	Since time.Time
	// Requests is how many requests the new version had had by then.
	Requests int
	Reason   string
}

// Inputs is what the holder knows at a moment.
type Inputs struct {
	// Bad is set once the new version has been judged bad.
	Bad *message.BadVersion
	// Withdrawn tells that the manifest in force has no such move any more.
	Withdrawn bool
	// Ready tells that every endpoint of the new version serves it.
	Ready bool
	// Evidence is by route; empty if the pool's owner did not answer.
	Evidence []canary.RouteEvidence
}

const (
	// DefaultStepDuration is the usual shortest time at each share of the ramp.
	DefaultStepDuration = 2 * time.Second
	// minStepRequests is how many requests the new version must have had at
	// each share of the ramp.
	minStepRequests = 10
	// rareRouteDivisor is the part of a service's requests, one in so many, below
	// which a route's evidence is not waited for at the last moment.
	rareRouteDivisor = 20
	// maxQuietAlarm is the largest alarm, as a share of the way to the verdict
	// "bad", with which the share is raised.
	maxQuietAlarm = 0.5
	// DefaultRevertMargin is how long before the deadline a revert usually begins.
	DefaultRevertMargin = 5 * time.Second
)

// rampShares are the shares of the ramp. The last one leaves the old version
// enough traffic to compare with during the soak.
func rampShares() []float64 { return []float64{0.25, 0.5, 0.9} }

// Next returns the status that follows from what is known now. It returns
// the same status if nothing is to change.
func Next(plan Plan, status Status, now time.Time, known Inputs) Status {
	if finished(status.Stage) {
		return status
	}
	if reason := revertReason(plan, status, now, known); reason != "" {
		return newStatus(message.StageReverted, 0, now, known, reason)
	}
	switch status.Stage {
	case "", message.StagePending:
		return newStatus(message.StageLoading, 0, now, known, "version ordered")
	case message.StageLoading:
		if known.Ready {
			return newStatus(message.StageCanary, plan.MaxShare, now, known, "all endpoints serve the version")
		}
	case message.StageCanary:
		if provedOnAllRoutes(known.Evidence) {
			return newStatus(message.StageRamp, rampShares()[0], now, known, "proved on every route that has traffic")
		}
		lastMoment := now.Add(MinTimeToFinish(plan, status, now) + plan.stepDuration()).After(plan.Deadline)
		if plan.AllowUnproved && lastMoment && evidenceFavorsTarget(known.Evidence) {
			return newStatus(message.StageRamp, rampShares()[0], now, known, "nothing speaks against the version, and no time is left")
		}
	case message.StageRamp:
		return advanceRamp(plan, status, now, known)
	case message.StageSoak:
		if now.Sub(status.Since) >= plan.Soak && quiet(known.Evidence) {
			return newStatus(message.StageDone, 1, now, known, "soak ended without a fault")
		}
	}
	return status
}

func finished(stage message.Stage) bool {
	return stage == message.StageDone || stage == message.StageReverted
}

func newStatus(stage message.Stage, share float64, now time.Time, known Inputs, reason string) Status {
	return Status{Stage: stage, Share: share, Since: now, Requests: totalRequests(known.Evidence), Reason: reason}
}

func revertReason(plan Plan, status Status, now time.Time, known Inputs) string {
	switch {
	case known.Bad != nil:
		return fmt.Sprintf("version judged bad on route %s: %s", known.Bad.Route, known.Bad.Reason)
	case known.Withdrawn:
		return "the manifest in force has no such move"
	case now.Add(MinTimeToFinish(plan, status, now)).After(plan.Deadline):
		return fmt.Sprintf("cannot be done by the deadline from stage %s", status.Stage)
	}
	return ""
}

// MinTimeToFinish returns the least time from now to the end of the move, and that
// of a revert: a move that has come to its end later than a revert before the
// deadline is no longer in use on every host.
func MinTimeToFinish(plan Plan, status Status, now time.Time) time.Duration {
	elapsed := now.Sub(status.Since)
	left := func(stage time.Duration) time.Duration { return max(0, stage-elapsed) }
	steps := time.Duration(len(rampShares())) * plan.stepDuration()
	var needed time.Duration
	switch status.Stage {
	case message.StageRamp:
		done := time.Duration(rampIndex(status.Share)+1) * plan.stepDuration()
		needed = left(plan.stepDuration()) + steps - done + plan.Soak
	case message.StageSoak:
		needed = left(plan.Soak)
	default:
		needed = steps + plan.Soak
	}
	return needed + plan.revertMargin()
}

func rampIndex(share float64) int {
	for i, s := range rampShares() {
		if share <= s {
			return i
		}
	}
	return len(rampShares()) - 1
}

func advanceRamp(plan Plan, status Status, now time.Time, known Inputs) Status {
	if now.Sub(status.Since) < plan.stepDuration() || !quiet(known.Evidence) || newRequests(status, known) < minStepRequests {
		return status
	}
	if next := rampIndex(status.Share) + 1; next < len(rampShares()) {
		return newStatus(message.StageRamp, rampShares()[next], now, known, "no fault at the smaller share")
	}
	return newStatus(message.StageSoak, status.Share, now, known, "ramp ended without a fault")
}

// newRequests is how many requests the new version has had since the stage
// and share were set, as far as known: a new owner of the pool counts from
// zero.
func newRequests(status Status, known Inputs) int {
	total := totalRequests(known.Evidence)
	if total < status.Requests {
		return total
	}
	return total - status.Requests
}

func provedOnAllRoutes(evidence []canary.RouteEvidence) bool {
	proved := 0
	for _, e := range evidence {
		if e.BaselineRequests >= canary.MinBaselineRequests && !e.Proved {
			return false
		}
		if e.Proved {
			proved++
		}
	}
	return proved > 0 && quiet(evidence)
}

// evidenceFavorsTarget tells whether the evidence on every route that has traffic speaks
// for the version, as far as it goes.
func evidenceFavorsTarget(evidence []canary.RouteEvidence) bool {
	total := 0
	for _, e := range evidence {
		total += e.BaselineRequests
	}
	for _, e := range evidence {
		rare := e.BaselineRequests < max(canary.MinBaselineRequests, total/rareRouteDivisor)
		if !rare && (e.Requests == 0 || e.LogRatio >= 0) {
			return false
		}
	}
	return totalRequests(evidence) >= minStepRequests && quiet(evidence)
}

func quiet(evidence []canary.RouteEvidence) bool {
	for _, e := range evidence {
		if e.Alarm > maxQuietAlarm {
			return false
		}
	}
	return len(evidence) > 0
}

func totalRequests(evidence []canary.RouteEvidence) int {
	total := 0
	for _, e := range evidence {
		total += e.Requests
	}
	return total
}
