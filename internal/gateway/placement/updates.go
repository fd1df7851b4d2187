package placement

import (
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/estimate"
	"kingcupcourse/internal/decision/outstanding"
)

func (m ApplyUpdates) handle(d *Duty, now time.Time) {
	d.book.ApplyHostReport(m.Updates.Host, nil, false, now)
	for _, update := range m.Updates.Updates {
		d.update(update, now)
	}
	if m.Updates.Full {
		d.takeList(m.Updates, now)
	}
}

// update takes over how an attempt goes on.
func (d *Duty) update(u Update, now time.Time) {
	if u.Result == "" {
		if a := d.book.Get(u.Attempt); a != nil && a.FirstTokenAt.IsZero() {
			a.OutputReceived, a.FirstTokenAt = 1, now
		}
		return
	}
	a := d.book.Remove(u.Attempt, now)
	ask := d.asks[u.Attempt]
	delete(d.asks, u.Attempt)
	if a == nil {
		return
	}
	e := d.endpoints[a.Endpoint]
	if e == nil {
		return
	}
	d.moving.ended(e, a, ask, u, max(1, d.eventTokens[e.Service]))
	switch u.Result {
	case core.ResultOK:
		e.health.RecordSuccess()
		d.learn(e, a, u, now)
	case core.ResultLost, core.ResultFailed, core.ResultNotDispatched:
		e.health.RecordFailure(now)
	}
}

// learn takes the speed from an attempt that ended well. The prompts that were
// ahead of its own have been read in the time to its first token, too. The
// first event's tokens have come with it.
func (d *Duty) learn(e *endpoint, a *outstanding.Attempt, u Update, now time.Time) {
	perEvent := max(1, d.eventTokens[e.Service])
	sample := estimate.Sample{
		PrefillTokens: a.PrefillTokens + a.PrefillTokensAhead, OutputTokens: u.Events * perEvent, Concurrency: a.RunningAtPlacement + 1,
		FirstToken: milliseconds(u.FirstPartMS), BetweenTokens: milliseconds(u.betweenTokensMS(perEvent)),
		Total: milliseconds(u.TotalMS), EndedAt: now,
	}
	if a.RunningAtPlacement >= e.Slots {
		sample.FirstToken = 0 // it waited for a slot, which tells nothing of the speed
	}
	d.speeds.Observe(e.Endpoint.Endpoint, e.Version, sample)
}

// takeList takes over the whole list of a host's attempts.
func (d *Duty) takeList(updates Updates, now time.Time) {
	listed := make([]outstanding.ReportedAttempt, 0, len(updates.Running))
	for _, running := range updates.Running {
		d.asks[running.Attempt] = running.Request
		entry := outstanding.ReportedAttempt{Attempt: outstanding.Attempt{
			ID: running.Attempt, Host: updates.Host, Endpoint: running.Endpoint, PrefillTokens: running.PromptTokens,
			ExpectedOutputTokens: running.OutputTokens, GrantedAt: now, ExpectedFirstToken: now,
		}}
		if running.Started {
			entry.OutputReceived, entry.Attempt.FirstTokenAt = 1, now
		}
		listed = append(listed, entry)
	}
	for _, dropped := range d.book.ApplyHostReport(updates.Host, listed, true, now) {
		delete(d.asks, dropped.ID)
	}
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
