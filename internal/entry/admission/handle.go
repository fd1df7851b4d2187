package admission

import (
	"time"

	"kingcupcourse/internal/core"
	decision "kingcupcourse/internal/decision/admission"
)

// fullRetryAfter is the Retry-After time when the entry host is full or has no
// configuration yet.
const fullRetryAfter = time.Second

func (m Open) handle(d *Duty, now time.Time) { m.Send(d.openRequest(m, now)) }

func (d *Duty) openRequest(m Open, now time.Time) OpenReply {
	if d.policy == nil {
		return OpenReply{Refusal: core.RefuseWithRetry(core.ReasonNotReady,
			"the entry host has no configuration yet", fullRetryAfter)}
	}
	account, found := d.policy.AccountByKeyHash(m.KeyHash)
	if !found {
		return OpenReply{Refusal: core.Refuse(core.ReasonUnauthenticated, "the bearer key is missing or unknown")}
	}
	reply := OpenReply{Account: account.Name}
	limits, routeFound := d.policy.MatchPath(m.Method, m.Path)
	switch {
	case !routeFound:
		reply.Refusal = core.Refuse(core.ReasonUnknownRoute, "no route takes this method and path")
	case len(d.inProgress) >= d.config.MaxRequests:
		reply.Refusal = core.RefuseWithRetry(core.ReasonQueueFull, "the entry host is full", fullRetryAfter)
	default:
		reply.Refusal = d.rateLimiters.allow(account, now)
	}
	if reply.Refusal != nil {
		return reply
	}
	reply.Limits = limits
	d.inProgress[m.Token] = account
	requestsInProgress.Set(float64(len(d.inProgress)))
	return reply
}

func (m Admit) handle(d *Duty, now time.Time) { m.Send(d.admitRequest(m, now)) }

func (d *Duty) admitRequest(m Admit, now time.Time) Ticket {
	request := m.Request
	request.Account = d.inProgress[m.Token]
	if request.Account == nil || d.policy == nil {
		return Ticket{Refusal: core.RefuseWithRetry(core.ReasonNotReady, "the request was not opened", fullRetryAfter)}
	}
	request.PoisonMarks = d.clearedMarks.uncleared(m.Fingerprint, d.view.PoisonMarks[m.Fingerprint])
	load := decision.Load{InProgress: len(d.inProgress), MaxInProgress: d.config.MaxRequests}
	admitted, refusal := d.policy.Admit(request, load, d.config.Region, now)
	if refusal != nil {
		return Ticket{Refusal: refusal}
	}
	d.retryBudget.Deposit()
	return Ticket{Decision: admitted, Owners: d.rankedOwners(admitted.Shard), ConfigVersion: d.view.ManifestVersion}
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
