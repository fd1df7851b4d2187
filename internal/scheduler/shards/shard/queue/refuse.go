package queue

import (
	"time"

	"kingcupcourse/internal/core"
	waitlist "kingcupcourse/internal/decision/queue"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/scheduler/inbox"
)

// reservationTimeout bounds how long a run-once request waits for its
// reservation before it is refused.
const reservationTimeout = time.Second

// refuse answers a request that is not in the queue. A run-once request with
// the same key may have run before, so the journal is asked first what is
// known of the key; only the next owner of the pool needs no answer to that.
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

// refuseAsUnknown refuses a run-once request of which an earlier attempt may
// have run.
func (d *Duty) refuseAsUnknown(w *waiter, reason core.Reason) {
	d.sendRefusal(w.reply, &w.request, &core.Refusal{Disposition: core.OutcomeUnknown, Reason: reason,
		Detail: "the journal could not be asked", Retry: true, RetryAfter: minRetryAfter})
}

// sendRefusal sends a refusal.
func (d *Duty) sendRefusal(reply ring.Reply[message.GrantReply], r *message.GrantRequest, refusal *core.Refusal) {
	answer := message.GrantReply{ConfigVersion: d.configVersion(), Refusal: &message.Refusal{
		Refusal: *refusal, RetryAfterMS: refusal.RetryAfter.Milliseconds()}}
	if refusal.Reason == core.ReasonNotOwner {
		answer.Owner = d.ownerAddress
	}
	reply.Send(answer)
	d.logRefusal(r, refusal)
}

// drop refuses an item that was taken out of the queue, and gives its
// reservation back: its grant was never given.
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

// releaseReservation gives the reservation of a request back that was never granted.
func (d *Duty) releaseReservation(w *waiter) {
	if !w.reservationSent.IsZero() {
		d.sendToJournal(inbox.Release{Key: w.request.Key, Attempt: w.request.Attempt})
	}
}

// cancelRequest takes a request out whose asker has gone. If it was granted, the
// asker may have got the grant: its reservation stays.
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

// expireWaiting drops what can no longer finish, and what waits too long for its
// reservation.
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

// expirePendingRefusals answers the refusals for which the journal has no answer.
func (d *Duty) expirePendingRefusals(now time.Time) {
	for id, w := range d.pendingRefusals {
		if now.Sub(w.arrived) >= reservationTimeout {
			delete(d.pendingRefusals, id)
			d.refuseAsUnknown(w, core.ReasonJournalUnavailable)
		}
	}
}

// redirectWaiting sends everything that waits to the next owner. The reservations
// stay: the next owner finds them, and the entries ask it with the same
// attempts.
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

// drain hands the shard over: nothing more is granted, and what waits is
// sent to the next owner.
func (d *Duty) drain(m inbox.Drain, now time.Time) {
	d.draining = true
	if d.view != nil {
		d.updateOwnership(now)
	}
	d.sendJournalBacklog()
	m.Send(struct{}{})
}
