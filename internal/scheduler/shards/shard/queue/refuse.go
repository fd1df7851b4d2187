package queue

import (
	"time"

	"kingcupcourse/internal/core"
	waitlist "kingcupcourse/internal/decision/queue"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/scheduler/inbox"
)

// reservationPatience bounds how long a run-once request waits for its
// reservation before it is refused.
const reservationPatience = time.Second

// refuse answers a request that is not in the queue. A run-once request with
// the same key may have run before, so the journal is asked first what is
// known of the key; only the next owner of the pool needs no answer to that.
func (d *Duty) refuse(reply ring.Reply[message.GrantReply], r *message.GrantRequest, refusal *core.Refusal) {
	if r.Key == "" || refusal.Reason == core.ReasonNotOwner {
		d.answer(reply, r, refusal)
		return
	}
	w := &waiter{reply: reply, request: *r, arrived: time.Now()}
	if d.Journal.TryPut(inbox.Refuse{Ask: ask(r), Refusal: refusal}) != nil {
		d.answerUnknown(w, refusal.Reason)
		return
	}
	d.refusing[r.Attempt] = w
}

// answerUnknown refuses a run-once request of which an earlier attempt may
// have run.
func (d *Duty) answerUnknown(w *waiter, reason core.Reason) {
	d.answer(w.reply, &w.request, &core.Refusal{Disposition: core.OutcomeUnknown, Reason: reason,
		Detail: "the journal could not be asked", Retry: true, RetryAfter: minRetry})
}

// answer sends a refusal.
func (d *Duty) answer(reply ring.Reply[message.GrantReply], r *message.GrantRequest, refusal *core.Refusal) {
	answer := message.GrantReply{ConfigVersion: d.configVersion(), Refusal: &message.Refusal{
		Refusal: *refusal, RetryAfterMS: refusal.RetryAfter.Milliseconds()}}
	if refusal.Reason == core.ReasonNotOwner {
		answer.Owner = d.next
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
	w := d.forget(item.ID)
	if w == nil {
		return
	}
	d.release(w)
	if w.reserved {
		d.answer(w.reply, &w.request, refusal) // no other attempt can have run
		return
	}
	d.refuse(w.reply, &w.request, refusal)
}

func (d *Duty) forget(id string) *waiter {
	w := d.waiters[id]
	delete(d.waiters, id)
	return w
}

// release gives the reservation of a request back that was never granted.
func (d *Duty) release(w *waiter) {
	if !w.asked.IsZero() {
		d.tellJournal(inbox.Release{Key: w.request.Key, Attempt: w.request.Attempt})
	}
}

// withdraw takes a request out whose asker has gone. If it was granted, the
// asker may have got the grant: its reservation stays.
func (d *Duty) withdraw(m inbox.Withdraw) {
	w := d.waiters[m.Attempt]
	if w == nil || w.reply != m.Reply {
		return
	}
	d.waiting.Remove(m.Attempt)
	d.forget(m.Attempt)
	d.release(w)
	refusedTotal.WithLabelValues(d.Shard.Pool, tierLabel(w.request.Tier), string(core.ReasonCallerGone)).Inc()
}

// expire drops what can no longer finish, and what waits too long for its
// reservation.
func (d *Duty) expire(now time.Time) {
	for _, item := range d.waiting.Expire(now) {
		d.drop(item, core.Refuse(core.ReasonDeadlineTooSoon, "it can no longer finish in time"))
	}
	for id, w := range d.waiters {
		if !w.ready() && now.Sub(w.asked) >= reservationPatience {
			d.drop(d.waiting.Remove(id),
				core.RefuseWithRetry(core.ReasonJournalUnavailable, "the reservation could not be recorded", reservationPatience))
		}
	}
}

// expireRefusals answers the refusals for which the journal has no answer.
func (d *Duty) expireRefusals(now time.Time) {
	for id, w := range d.refusing {
		if now.Sub(w.arrived) >= reservationPatience {
			delete(d.refusing, id)
			d.answerUnknown(w, core.ReasonJournalUnavailable)
		}
	}
}

// refuseAll sends everything that waits to the next owner. The reservations
// stay: the next owner finds them, and the entries ask it with the same
// attempts.
func (d *Duty) refuseAll() {
	for id, w := range d.waiters {
		d.waiting.Remove(id)
		delete(d.waiters, id)
		d.refuse(w.reply, &w.request, d.notOwner())
	}
}

func (d *Duty) notOwner() *core.Refusal {
	if d.next == "" {
		return core.RefuseWithRetry(core.ReasonDraining, "this scheduler stops and no other is known", minRetry)
	}
	return core.RefuseWithRetry(core.ReasonNotOwner, "another scheduler owns the pool", 0)
}

// drain hands the shard over: nothing more is granted, and what waits is
// sent to the next owner.
func (d *Duty) drain(m inbox.Drain, now time.Time) {
	d.draining = true
	if d.view != nil {
		d.changeOwner(now)
	}
	d.sendUnsent()
	m.Send(struct{}{})
}
