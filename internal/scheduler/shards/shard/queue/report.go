package queue

import (
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/estimate"
	"kingcupcourse/internal/decision/outstanding"
	"kingcupcourse/internal/decision/poison"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/scheduler/inbox"
)

// handleReport applies an entry's report of ended and running attempts.
func (d *Duty) handleReport(m inbox.ReportOutcomes, now time.Time) {
	ack := message.OutcomeAck{ConfigVersion: d.configVersion()}
	if !d.owned {
		ack.Owner = d.ownerAddress
		m.Send(ack)
		return
	}
	for i := range m.Report.Outcomes {
		d.applyOutcome(&m.Report.Outcomes[i], now)
	}
	d.reconcileRunning(&m.Report, now)
	m.Send(ack)
}

func (d *Duty) applyOutcome(o *core.Outcome, now time.Time) {
	running := d.attempts.Running(o.Endpoint)
	attempt := d.attempts.Remove(o.Attempt, now)
	d.recordOutcome(o)
	d.updatePoisonMarks(o, now)
	outcomesTotal.WithLabelValues(d.Shard.Pool, string(o.Result)).Inc()
	e := d.endpoints[o.Endpoint]
	if e == nil {
		return
	}
	if o.EndpointDraining {
		e.drainingSince = now
	}
	d.updateHealth(e, o, now)
	d.observeTrials(e, o, running, now)
	if o.Result == core.ResultOK {
		d.updateEstimates(e, o, attempt, running, now)
	}
}

// updatePoisonMarks records that an endpoint died while it ran a request, or
// clears the marks of a request that has succeeded.
func (d *Duty) updatePoisonMarks(o *core.Outcome, now time.Time) {
	switch {
	case o.EndpointDied:
		d.poisonMarks.RecordDeath(o.Fingerprint, o.Endpoint, now)
	case o.Result == core.ResultOK:
		d.poisonMarks.Clear(o.Fingerprint)
	}
}

// isPoison reports whether too many endpoints have died while they ran the
// request, according to the local marks or those gossiped by the entries.
func (d *Duty) isPoison(fingerprint string, now time.Time) bool {
	return d.poisonMarks.Poisonous(fingerprint, now) || d.view.PoisonMarks[fingerprint] >= poison.DeathLimit
}

// updateHealth updates the health of an endpoint from an outcome.
func (d *Duty) updateHealth(e *endpoint, o *core.Outcome, now time.Time) {
	switch {
	case o.Result == core.ResultOK:
		e.health.RecordSuccess()
	case o.Result == core.ResultLost, o.Result == core.ResultNotDispatched && !o.EndpointDraining,
		o.Result == core.ResultFailed && (o.Status == 0 || o.Status >= 500):
		e.health.RecordFailure(now)
	}
}

// updateEstimates learns the endpoint's speed and the output length from a
// complete response.
func (d *Duty) updateEstimates(e *endpoint, o *core.Outcome, attempt *outstanding.Attempt, running int, now time.Time) {
	prefill := o.PromptTokens
	if attempt != nil {
		prefill = attempt.PrefillTokens
	}
	d.speeds.Observe(e.Endpoint, o.Version, estimate.Sample{
		PrefillTokens: prefill,
		OutputTokens:  o.OutputTokens,
		Concurrency:   max(1, running),
		FirstToken:    milliseconds(o.FirstTokenMS),
		BetweenTokens: milliseconds(o.BetweenTokensMS),
		Total:         milliseconds(o.TotalMS),
		EndedAt:       now,
	})
	if o.OutputTokens > 0 {
		d.outputLengths.Observe(o.Route, o.Account, o.OutputTokens)
	}
}

// reconcileRunning aligns the tracked attempts with those that an entry reports
// as running.
func (d *Duty) reconcileRunning(r *message.OutcomeReport, now time.Time) {
	reported := make([]outstanding.ReportedAttempt, 0, len(r.Running))
	for i := range r.Running {
		reported = append(reported, d.reportedAttempt(r.Host, &r.Running[i], now))
	}
	d.reportReleased(d.attempts.ApplyHostReport(r.Host, reported, r.Full, now), "missing from the report of its entry")
}

// reportedAttempt converts an attempt that an entry reports as running. If this
// owner did not grant it, the expected finish is estimated.
func (d *Duty) reportedAttempt(host string, r *message.RunningRequest, now time.Time) outstanding.ReportedAttempt {
	attempt := outstanding.Attempt{ID: r.Attempt, RequestID: r.RequestID, Host: host, Endpoint: r.Endpoint,
		Route: r.Route, Account: r.Account, PrefillTokens: r.PromptTokens, GrantedAt: now, ExpectedFirstToken: now, ExpectedFinish: now}
	e := d.endpoints[r.Endpoint]
	if e != nil && d.attempts.Get(r.Attempt) == nil {
		request := core.Request{Route: r.Route, Account: r.Account, MaxOutputTokens: r.MaxOutputTokens}
		attempt.Version = e.version
		attempt.ExpectedOutputTokens = d.estimateOutputTokens(&request, typicalQuantile)
		left := max(0, attempt.ExpectedOutputTokens-r.OutputTokens)
		attempt.ExpectedFinish = now.Add(d.speeds.Decode(e.Endpoint, e.version, d.attempts.Running(e.Name), left))
	}
	return outstanding.ReportedAttempt{Attempt: attempt, OutputReceived: r.OutputTokens}
}

func (d *Duty) releaseSilent(now time.Time) {
	d.reportReleased(d.attempts.ExpireSilentHosts(now), "no recent report from its entry")
}

// reportReleased logs and counts attempts that are no longer tracked although
// they have no outcome. The journal keeps their keys.
func (d *Duty) reportReleased(attempts []*outstanding.Attempt, why string) {
	for _, a := range attempts {
		releasedTotal.WithLabelValues(d.Shard.Pool).Inc()
		d.log.Warn("attempt released without outcome", zap.String("request", a.RequestID), zap.String("attempt", a.ID),
			zap.String("endpoint", a.Endpoint), zap.String("host", a.Host), zap.String("why", why))
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
