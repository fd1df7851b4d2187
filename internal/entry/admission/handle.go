package admission

import (
	"time"

	"kingcupcourse/internal/core"
	decision "kingcupcourse/internal/decision/admission"
)

// fullRetryAfter is how long a caller is asked to wait when the entry host
// is full or not yet configured.
const fullRetryAfter = time.Second

func (m Opening) handle(d *Duty, now time.Time) { m.Send(d.opening(m, now)) }

func (d *Duty) opening(m Opening, now time.Time) Opened {
	if d.policy == nil {
		return Opened{Refusal: core.RefuseWithRetry(core.ReasonNotReady,
			"the entry host has no configuration yet", fullRetryAfter)}
	}
	account, known := d.policy.AccountByKeyHash(m.KeyHash)
	if !known {
		return Opened{Refusal: core.Refuse(core.ReasonUnauthenticated, "the bearer key is missing or unknown")}
	}
	opened := Opened{Account: account.Name}
	terms, found := d.policy.MatchPath(m.Method, m.Path)
	switch {
	case !found:
		opened.Refusal = core.Refuse(core.ReasonUnknownRoute, "no route takes this method and path")
	case len(d.open) >= d.config.MaxRequests:
		opened.Refusal = core.RefuseWithRetry(core.ReasonQueueFull, "the entry host is full", fullRetryAfter)
	default:
		opened.Refusal = d.limits.take(account, now)
	}
	if opened.Refusal != nil {
		return opened
	}
	opened.Terms = terms
	d.open[m.Token] = account
	inProgress.Set(float64(len(d.open)))
	return opened
}

func (m Question) handle(d *Duty, now time.Time) { m.Send(d.question(m, now)) }

func (d *Duty) question(m Question, now time.Time) Ticket {
	ask := m.Ask
	ask.Account = d.open[m.Token]
	if ask.Account == nil || d.policy == nil {
		return Ticket{Refusal: core.RefuseWithRetry(core.ReasonNotReady, "the request was not opened", fullRetryAfter)}
	}
	ask.PoisonMarks = d.cleared.counted(m.Fingerprint, d.view.PoisonMarks[m.Fingerprint])
	load := decision.Load{InProgress: len(d.open), MaxInProgress: d.config.MaxRequests}
	terms, refusal := d.policy.Admit(ask, load, d.config.Region, now)
	if refusal != nil {
		return Ticket{Refusal: refusal}
	}
	d.budget.Deposit()
	return Ticket{Decision: terms, Owners: d.ranked(terms.Shard), ConfigVersion: d.view.ManifestVersion}
}

func (m RetryAsk) handle(d *Duty, _ time.Time) { m.Send(d.budget.TryWithdraw()) }

func (m Closing) handle(d *Duty, _ time.Time) {
	delete(d.open, m.Token)
	inProgress.Set(float64(len(d.open)))
	if m.FinishedWell && d.view != nil {
		d.cleared.finished(m.Fingerprint, d.view.PoisonMarks[m.Fingerprint])
	}
}

func (m OwnersAsk) handle(d *Duty, _ time.Time) {
	if d.view == nil {
		m.Send(nil)
		return
	}
	m.Send(d.ranked(m.Shard))
}

func (m VersionAsk) handle(d *Duty, _ time.Time) {
	if d.view == nil {
		m.Send(false)
		return
	}
	_, bad := d.view.BadVersions[m.Version]
	m.Send(bad)
}
