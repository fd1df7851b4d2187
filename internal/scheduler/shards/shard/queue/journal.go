package queue

import (
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/journal"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/scheduler/inbox"
)

// tellJournal puts a message in the journal's ring, or keeps it for the next
// tick while the ring is full. The order is kept.
func (d *Duty) tellJournal(m inbox.Journal) {
	if len(d.unsent) > 0 || d.Journal.TryPut(m) != nil {
		d.unsent = append(d.unsent, m)
	}
}

func (d *Duty) sendUnsent() {
	for len(d.unsent) > 0 && d.Journal.TryPut(d.unsent[0]) == nil {
		d.unsent = d.unsent[1:]
	}
}

// journalAnswer lets a run-once request go on, or refuses it.
func (d *Duty) journalAnswer(a journal.Reply, now time.Time) {
	if w := d.refusing[a.Attempt]; w != nil && !a.Reserved {
		delete(d.refusing, a.Attempt)
		d.pass(w, a)
		return
	}
	w := d.waiters[a.Attempt]
	if w == nil || w.asked.IsZero() {
		return
	}
	if a.Reserved {
		w.reserved = true
		reservationSeconds.Observe(now.Sub(w.asked).Seconds())
		if d.poisonous(w.request.Fingerprint, now) {
			d.drop(d.waiting.Remove(a.Attempt), poisonRefusal())
		}
		return
	}
	d.waiting.Remove(a.Attempt)
	d.forget(a.Attempt)
	d.pass(w, a)
}

// pass passes on what the journal knows of a request's key.
func (d *Duty) pass(w *waiter, a journal.Reply) {
	if a.Refusal != nil {
		d.answer(w.reply, &w.request, a.Refusal)
		return
	}
	w.reply.Send(message.GrantReply{Prior: a.PriorOutcome, ConfigVersion: d.configVersion()})
	d.log.Info("answered by the journal", zap.String("request", w.request.RequestID), zap.String("key", w.request.Key))
}

// record tells the journal how a run-once attempt ended. An attempt that was
// not dispatched, or that the endpoint did not start, is released.
func (d *Duty) record(o *core.Outcome) {
	if o.Key == "" {
		return
	}
	if o.Result == core.ResultNotDispatched || o.Result == core.ResultRejected {
		d.tellJournal(inbox.Release{Key: o.Key, Attempt: o.Attempt, ByEntry: true})
		return
	}
	result := o.Result
	if result == core.ResultFailed && o.Status == 0 {
		result = core.ResultLost
	}
	d.tellJournal(inbox.Finish{Record: journal.Record{Key: o.Key, Attempt: o.Attempt, Result: result,
		Status: o.Status, Response: o.ResponseBody, ContentType: o.ContentType, ResponseComplete: o.ResponseBody != nil}})
}
