package placement

import (
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/estimate"
	"kingcupcourse/internal/decision/outstanding"
	"kingcupcourse/internal/decision/withdrawal"
)

func (m ApplyUpdates) handle(d *Duty, now time.Time) {
	d.attempts.ApplyHostReport(m.Updates.Host, nil, false, now)
	if m.Updates.Host != d.host.Name {
		d.load.updates++
	}
	for _, update := range m.Updates.Updates {
		d.queueUpdate(update, now)
		d.applyUpdate(update, now)
	}
	if m.Updates.Full {
		d.applyList(m.Updates, now)
		d.warmup.told(m.Updates.Failed, now)
	}
	m.Send(d.updatesAnswer(m.Updates, now))
}

// applyUpdate records the first part or the end of an attempt's response.
func (d *Duty) applyUpdate(u Update, now time.Time) {
	if a := d.attempts.Get(u.Attempt); a != nil && u.LeavingIncarnation != 0 {
		d.withdrawals.Leave(withdrawal.Incarnation{Endpoint: a.Endpoint, StartedUnixMS: u.LeavingIncarnation}, now)
	}
	if u.Result == "" {
		if a := d.attempts.Get(u.Attempt); a != nil && a.FirstTokenAt.IsZero() {
			a.OutputReceived, a.FirstTokenAt = 1, now
		}
		return
	}
	a := d.attempts.Remove(u.Attempt, now)
	req := d.requests[u.Attempt]
	delete(d.requests, u.Attempt)
	if a == nil {
		return
	}
	e := d.endpoints[a.Endpoint]
	if e == nil {
		return
	}
	d.traffic.reportOutcome(e, a, req, u, max(1, d.tokensPerEvent[e.Service]))
	switch u.Result {
	case core.ResultOK:
		e.health.RecordSuccess()
		d.warmup.succeeded(e.Endpoint.Name, a.GrantedAt, now)
		d.learnSpeed(e, a, u, now)
	case core.ResultLost, core.ResultFailed, core.ResultNotDispatched:
		e.health.RecordFailure(now)
		if u.Result != core.ResultFailed {
			d.warmup.failed(e.Endpoint.Name, now)
		}
	}
}

// learnSpeed learns the endpoint's speed from a successful attempt. The time to
// its first token includes the prefill of the prompts ahead of its own. The
// tokens of the first event arrive together with the first token.
func (d *Duty) learnSpeed(e *endpoint, a *outstanding.Attempt, u Update, now time.Time) {
	tokensPerEvent := max(1, d.tokensPerEvent[e.Service])
	sample := estimate.Sample{
		PrefillTokens: a.PrefillTokens + a.PrefillTokensAhead, OutputTokens: u.Events * tokensPerEvent, Concurrency: a.RunningAtPlacement + 1,
		FirstToken: toDuration(u.FirstPartMS), BetweenTokens: toDuration(u.betweenTokensMS(tokensPerEvent)),
		Total: toDuration(u.TotalMS), EndedAt: now,
	}
	if a.RunningAtPlacement >= e.Slots {
		sample.FirstToken = 0 // includes the wait for a slot, so it does not show the speed
	}
	d.speeds.Observe(e.Endpoint.Endpoint, e.Version, sample)
}

// applyList replaces the counted attempts of a host by its full list.
func (d *Duty) applyList(updates Updates, now time.Time) {
	listed := make([]outstanding.ReportedAttempt, 0, len(updates.Running))
	for _, running := range updates.Running {
		d.requests[running.Attempt] = running.Request
		entry := outstanding.ReportedAttempt{Attempt: outstanding.Attempt{
			ID: running.Attempt, Host: updates.Host, Endpoint: running.Endpoint, PrefillTokens: running.PromptTokens,
			ExpectedOutputTokens: running.OutputTokens, GrantedAt: now, ExpectedFirstToken: now,
		}}
		if running.Started {
			entry.OutputReceived, entry.Attempt.FirstTokenAt = 1, now
		}
		listed = append(listed, entry)
	}
	for _, dropped := range d.attempts.ApplyHostReport(updates.Host, listed, true, now) {
		delete(d.requests, dropped.ID)
	}
}

func toDuration(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
