package admission

import (
	"time"

	"kingcupcourse/internal/core"
	decision "kingcupcourse/internal/decision/admission"
)

// fullRetryAfter is how long a caller is asked to wait when the entry host
// is full or not yet configured.
const fullRetryAfter = time.Second

func (m Open) handle(d *Duty, now time.Time) { m.Send(d.openRequest(m, now)) }

func (d *Duty) openRequest(m Open, now time.Time) OpenReply {
	if d.policy == nil {
		return OpenReply{Refusal: core.RefuseWithRetry(core.ReasonNotReady,
			"the entry host has no configuration yet", fullRetryAfter)}
	}
	account, known := d.policy.AccountByKeyHash(m.KeyHash)
	if !known {
		return OpenReply{Refusal: core.Refuse(core.ReasonUnauthenticated, "the bearer key is missing or unknown")}
	}
	opened := OpenReply{Account: account.Name}
	terms, found := d.policy.MatchPath(m.Method, m.Path)
	switch {
	case !found:
		opened.Refusal = core.Refuse(core.ReasonUnknownRoute, "no route takes this method and path")
	case len(d.inProgress) >= d.config.MaxRequests:
		opened.Refusal = core.RefuseWithRetry(core.ReasonQueueFull, "the entry host is full", fullRetryAfter)
	default:
		opened.Refusal = d.rateLimiters.allow(account, now)
	}
	if opened.Refusal != nil {
		return opened
	}
	opened.Limits = terms
	d.inProgress[m.Token] = account
	requestsInProgress.Set(float64(len(d.inProgress)))
	return opened
}

func (m Admit) handle(d *Duty, now time.Time) { m.Send(d.admitRequest(m, now)) }

func (d *Duty) admitRequest(m Admit, now time.Time) Ticket {
	ask := m.Request
	ask.Account = d.inProgress[m.Token]
	if ask.Account == nil || d.policy == nil {
		return Ticket{Refusal: core.RefuseWithRetry(core.ReasonNotReady, "the request was not opened", fullRetryAfter)}
	}
	ask.PoisonMarks = d.clearedMarks.uncleared(m.Fingerprint, d.view.PoisonMarks[m.Fingerprint])
	load := decision.Load{InProgress: len(d.inProgress), MaxInProgress: d.config.MaxRequests}
	terms, refusal := d.policy.Admit(ask, load, d.config.Region, now)
	if refusal != nil {
		return Ticket{Refusal: refusal}
	}
	d.retryBudget.Deposit()
	return Ticket{Decision: terms, Owners: d.rankedOwners(terms.Shard), ConfigVersion: d.view.ManifestVersion}
}

func (m RequestRetry) handle(d *Duty, _ time.Time) { m.Send(d.retryBudget.TryWithdraw()) }

func (m Close) handle(d *Duty, _ time.Time) {
	delete(d.inProgress, m.Token)
	requestsInProgress.Set(float64(len(d.inProgress)))
	if m.Succeeded && d.view != nil {
		d.clearedMarks.clear(m.Fingerprint, d.view.PoisonMarks[m.Fingerprint])
	}
}

func (m QueryOwners) handle(d *Duty, _ time.Time) {
	if d.view == nil {
		m.Send(nil)
		return
	}
	m.Send(d.rankedOwners(m.Shard))
}

func (m QueryBadVersion) handle(d *Duty, _ time.Time) {
	if d.view == nil {
		m.Send(false)
		return
	}
	_, bad := d.view.BadVersions[m.Version]
	m.Send(bad)
}
