// Package move decides the next stage of a planned version move. It holds no
// state: the result depends only on the plan, the status stored in the
// platform and the current inputs. Any holder can therefore continue where
// another stopped, and a repeated decision has no further effect.
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
	// MaxShare is the largest share of traffic until the version is proved.
	MaxShare float64
	// Soak is how long the version is observed at the largest ramp share.
	Soak time.Duration
	// StepDuration is the shortest time at each share of the ramp.
	// RevertMargin is how long before the deadline a revert begins, so that
	// every host has stopped using the version by the deadline. If zero, they
	// are DefaultStepDuration and DefaultRevertMargin.
	StepDuration, RevertMargin time.Duration
	// AllowUnproved lets the ramp begin with an unproved version at the last
	// possible moment if all evidence favors it. A service with little traffic
	// cannot prove a version within seconds.
	AllowUnproved bool
}

func (p *Plan) stepDuration() time.Duration { return cmp.Or(p.StepDuration, DefaultStepDuration) }

func (p *Plan) revertMargin() time.Duration { return cmp.Or(p.RevertMargin, DefaultRevertMargin) }

// Status is the progress of a move.
type Status struct {
	Stage message.Stage
	Share float64
	// Since is when the stage and the share were set.
	Since time.Time
	// Requests is how many requests the new version had served by then.
	Requests int
	Reason   string
}

// Inputs is the information that a decision is based on.
type Inputs struct {
	// Bad is set once the new version has been found bad.
	Bad *message.BadVersion
	// Withdrawn is set if the manifest in force no longer has the move.
	Withdrawn bool
	// Ready is set if every endpoint of the new version serves it.
	Ready bool
	// Evidence has one entry per route; it is empty if the pool's owner did
	// not respond.
	Evidence []canary.RouteEvidence
}

const (
	// DefaultStepDuration is the default for Plan.StepDuration.
	DefaultStepDuration = 2 * time.Second
	// minStepRequests is how many requests the new version must have served
	// at each share of the ramp.
	minStepRequests = 10
	// rareRouteDivisor defines a rare route: one with less than this fraction
	// (1/20) of the service's requests. A ramp that begins at the last moment
	// does not wait for the evidence of rare routes.
	rareRouteDivisor = 20
	// maxQuietAlarm is the highest alarm level at which the share is raised.
	// At level 1 the version is found bad.
	maxQuietAlarm = 0.5
	// DefaultRevertMargin is the default for Plan.RevertMargin.
	DefaultRevertMargin = 5 * time.Second
)

// rampShares returns the shares of the ramp. The last one leaves the old
// version enough traffic to compare with during the soak.
func rampShares() []float64 { return []float64{0.25, 0.5, 0.9} }

// Next returns the status that follows from the inputs. It returns the same
// status if nothing changes.
func Next(plan Plan, status Status, now time.Time, in Inputs) Status {
	if finished(status.Stage) {
		return status
	}
	if reason := revertReason(plan, status, now, in); reason != "" {
		return newStatus(message.StageReverted, 0, now, in, reason)
	}
	switch status.Stage {
	case "", message.StagePending:
		return newStatus(message.StageLoading, 0, now, in, "version ordered")
	case message.StageLoading:
		if in.Ready {
			return newStatus(message.StageCanary, plan.MaxShare, now, in, "all endpoints serve the version")
		}
	case message.StageCanary:
		if provedOnAllRoutes(in.Evidence) {
			return newStatus(message.StageRamp, rampShares()[0], now, in, "proved on every route that has traffic")
		}
		lastMoment := now.Add(MinTimeToFinish(plan, status, now) + plan.stepDuration()).After(plan.Deadline)
		if plan.AllowUnproved && lastMoment && evidenceFavorsTarget(in.Evidence) {
			return newStatus(message.StageRamp, rampShares()[0], now, in, "nothing speaks against the version, and no time is left")
		}
	case message.StageRamp:
		return advanceRamp(plan, status, now, in)
	case message.StageSoak:
		if now.Sub(status.Since) >= plan.Soak && quiet(in.Evidence) {
			return newStatus(message.StageDone, 1, now, in, "soak ended without a fault")
		}
	}
	return status
}

func finished(stage message.Stage) bool {
	return stage == message.StageDone || stage == message.StageReverted
}

func newStatus(stage message.Stage, share float64, now time.Time, in Inputs, reason string) Status {
	return Status{Stage: stage, Share: share, Since: now, Requests: totalRequests(in.Evidence), Reason: reason}
}

func revertReason(plan Plan, status Status, now time.Time, in Inputs) string {
	switch {
	case in.Bad != nil:
		return fmt.Sprintf("version judged bad on route %s: %s", in.Bad.Route, in.Bad.Reason)
	case in.Withdrawn:
		return "the manifest in force has no such move"
	case now.Add(MinTimeToFinish(plan, status, now)).After(plan.Deadline):
		return fmt.Sprintf("cannot be done by the deadline from stage %s", status.Stage)
	}
	return ""
}

// MinTimeToFinish returns the shortest time from now to the end of the move,
// plus the revert margin. A move that ends later is too late: from that margin
// before the deadline on, hosts stop using the version by themselves.
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

func advanceRamp(plan Plan, status Status, now time.Time, in Inputs) Status {
	if now.Sub(status.Since) < plan.stepDuration() || !quiet(in.Evidence) || newRequests(status, in) < minStepRequests {
		return status
	}
	if next := rampIndex(status.Share) + 1; next < len(rampShares()) {
		return newStatus(message.StageRamp, rampShares()[next], now, in, "no fault at the smaller share")
	}
	return newStatus(message.StageSoak, status.Share, now, in, "ramp ended without a fault")
}

// newRequests returns how many requests the new version has served since the
// stage and share were set. A new owner of the pool counts from zero, so a
// total below the stored one is taken as the count.
func newRequests(status Status, in Inputs) int {
	total := totalRequests(in.Evidence)
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

// evidenceFavorsTarget reports whether the evidence on every route that is not
// rare favors the new version, even if it is not yet a proof.
func evidenceFavorsTarget(evidence []canary.RouteEvidence) bool {
	total := 0
	for _, e := range evidence {
		total += e.BaselineRequests
	}
	for _, e := range evidence {
		rare := e.BaselineRequests < max(canary.MinBaselineRequests, total/rareRouteDivisor)
		if !rare && (e.Requests == 0 || e.LogRatio >= 0 || e.SlowLogRatio > 0) {
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
