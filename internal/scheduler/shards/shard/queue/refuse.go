package queue

import (
	"time"

	"kingcupcourse/internal/core"
	waitlist "kingcupcourse/internal/decision/queue"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/scheduler/inbox"
)

// reservationTimeout limits how long a run-once request waits for its
// reservation before it is refused.
const reservationTimeout = time.Second

// refuse refuses a request that is not in the queue. An earlier attempt of a
// run-once request may have run, so the journal is asked first what it knows of
// the key. That is unnecessary if the request is redirected to another owner,
// which asks the journal itself.
func (d *Duty) refuse(reply ring.Reply[message.GrantReply], r *message.GrantRequest, refusal *core.Refusal) {
	if r.Key == "" || refusal.Reason == core.ReasonNotOwner {
		d.sendRefusal(reply, r, refusal)
		return
	}
	w := &waiter{reply: reply, request: *r, arrived: time.Now()}
	if d.Journal.TryPut(inbox.ConfirmRefusal{Request: reservationRequest(r), Refusal: refusal}) != nil {
		d.refuseAsUnknown(w, refusal.Reason)
		return
	}
	d.pendingRefusals[r.Attempt] = w
}

// refuseAsUnknown refuses a run-once request with an unknown outcome, because an
// earlier attempt may have run.
func (d *Duty) refuseAsUnknown(w *waiter, reason core.Reason) {
	d.sendRefusal(w.reply, &w.request, &core.Refusal{Disposition: core.OutcomeUnknown, Reason: reason,
		Detail: "the journal could not be asked", Retry: true, RetryAfter: minRetryAfter})
}

// sendRefusal replies with a refusal and logs it.
func (d *Duty) sendRefusal(reply ring.Reply[message.GrantReply], r *message.GrantRequest, refusal *core.Refusal) {
	grantReply := message.GrantReply{ConfigVersion: d.configVersion(), Refusal: &message.Refusal{
		Refusal: *refusal, RetryAfterMS: refusal.RetryAfter.Milliseconds()}}
	if refusal.Reason == core.ReasonNotOwner {
		grantReply.Owner = d.ownerAddress
	}
	reply.Send(grantReply)
	d.logRefusal(r, refusal)
}

// drop refuses an item that was removed from the queue and releases its
// reservation, since it was never granted.
func (d *Duty) drop(item *waitlist.Item, refusal *core.Refusal) {
	if item == nil {
		return
	}
	w := d.removeWaiter(item.ID)
	if w == nil {
		return
	}
	d.releaseReservation(w)
	if w.reserved {
		d.sendRefusal(w.reply, &w.request, refusal) // no other attempt can have run
		return
	}
	d.refuse(w.reply, &w.request, refusal)
}

func (d *Duty) removeWaiter(id string) *waiter {
	w := d.waiters[id]
	delete(d.waiters, id)
	return w
}

// releaseReservation releases the reservation of a request that was never
// granted.
func (d *Duty) releaseReservation(w *waiter) {
	if !w.reservationSent.IsZero() {
		d.sendToJournal(inbox.Release{Key: w.request.Key, Attempt: w.request.Attempt})
	}
}

// cancelRequest removes a waiting request whose caller has disconnected. The
// reservation of a granted request stays, since its caller may have received
// the grant.
func (d *Duty) cancelRequest(m inbox.CancelRequest) {
	w := d.waiters[m.Attempt]
	if w == nil || w.reply != m.Reply {
		return
	}
	d.waiting.Remove(m.Attempt)
	d.removeWaiter(m.Attempt)
	d.releaseReservation(w)
	refusedTotal.WithLabelValues(d.Shard.Pool, tierLabel(w.request.Tier), string(core.ReasonCallerGone)).Inc()
}

// expireWaiting drops requests that can no longer finish and requests whose
// reservation takes too long.
func (d *Duty) expireWaiting(now time.Time) {
	for _, item := range d.waiting.Expire(now) {
		d.drop(item, core.Refuse(core.ReasonDeadlineTooSoon, "it can no longer finish in time"))
	}
	for id, w := range d.waiters {
		if !w.canPlace() && now.Sub(w.reservationSent) >= reservationTimeout {
			d.drop(d.waiting.Remove(id),
				core.RefuseWithRetry(core.ReasonJournalUnavailable, "the reservation could not be recorded", reservationTimeout))
		}
	}
}

// expirePendingRefusals sends the refusals for which the journal has not replied
// in time.
func (d *Duty) expirePendingRefusals(now time.Time) {
	for id, w := range d.pendingRefusals {
		if now.Sub(w.arrived) >= reservationTimeout {
			delete(d.pendingRefusals, id)
			d.refuseAsUnknown(w, core.ReasonJournalUnavailable)
		}
	}
}

// redirectWaiting redirects all waiting requests to the next owner. Their
// reservations stay: the next owner finds them, and the entries repeat the same
// attempts there.
func (d *Duty) redirectWaiting() {
	for id, w := range d.waiters {
		d.waiting.Remove(id)
		delete(d.waiters, id)
		d.refuse(w.reply, &w.request, d.notOwnerRefusal())
	}
}

func (d *Duty) notOwnerRefusal() *core.Refusal {
	if d.ownerAddress == "" {
		return core.RefuseWithRetry(core.ReasonDraining, "this scheduler stops and no other is known", minRetryAfter)
	}
	return core.RefuseWithRetry(core.ReasonNotOwner, "another scheduler owns the pool", 0)
}

// drain hands the shard over: it ends the ownership and redirects all waiting
// requests to the next owner.
func (d *Duty) drain(m inbox.Drain, now time.Time) {
	d.draining = true
	if d.view != nil {
		d.updateOwnership(now)
	}
	d.sendJournalBacklog()
	m.Send(struct{}{})
}
