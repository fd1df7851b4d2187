package placement

import (
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/estimate"
	"kingcupcourse/internal/decision/outstanding"
)

func (m Tell) handle(d *Duty, now time.Time) {
	d.book.Heard(m.Updates.Host, nil, false, now)
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
		if a := d.book.Get(u.Attempt); a != nil {
			a.OutputSoFar = 1
		}
		return
	}
	a := d.book.Remove(u.Attempt, now)
	delete(d.asks, u.Attempt)
	if a == nil {
		return
	}
	e := d.endpoints[a.Endpoint]
	if e == nil {
		return
	}
	switch u.Result {
	case core.ResultOK:
		e.health.Succeeded()
		d.learn(e, a, u, now)
	case core.ResultLost, core.ResultFailed, core.ResultNotDispatched:
		e.health.Failed(now)
	}
}

// learn takes the speed from an attempt that ended well. The prompts that were
// ahead of its own have been read in the time to its first token, too. The
// length of the answer is the one that was expected, by which times are
// estimated.
func (d *Duty) learn(e *endpoint, a *outstanding.Attempt, u Update, now time.Time) {
	sample := estimate.Sample{
		PrefillTokens: a.PrefillTokens + a.AheadTokens, OutputTokens: a.OutputTokens, Running: a.RunningBefore + 1,
		FirstToken: milliseconds(u.FirstMS), Total: milliseconds(u.TotalMS), At: now,
	}
	if a.OutputTokens > 1 && u.FirstMS > 0 {
		sample.BetweenTokens = milliseconds((u.TotalMS - u.FirstMS) / float64(a.OutputTokens-1))
	}
	d.speeds.Observe(e.Endpoint.Endpoint, e.Version, sample)
}

// takeList takes over the whole list of a host's attempts.
func (d *Duty) takeList(updates Updates, now time.Time) {
	listed := make([]outstanding.Listed, 0, len(updates.Running))
	for _, running := range updates.Running {
		d.asks[running.Attempt] = running.Ask
		so := 0
		if running.Begun {
			so = 1
		}
		listed = append(listed, outstanding.Listed{OutputSoFar: so, Attempt: outstanding.Attempt{
			ID: running.Attempt, Host: updates.Host, Endpoint: running.Endpoint, PrefillTokens: running.PromptTokens,
			OutputTokens: running.OutputTokens, Granted: now,
		}})
	}
	for _, dropped := range d.book.Heard(updates.Host, listed, true, now) {
		delete(d.asks, dropped.ID)
	}
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
