package queue

import (
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/journal"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/scheduler/inbox"
)

// sendToJournal puts a message into the journal's ring, or keeps it for the next
// tick while the ring is full. Messages stay in order.
func (d *Duty) sendToJournal(m inbox.JournalMessage) {
	if len(d.journalBacklog) > 0 || d.Journal.TryPut(m) != nil {
		d.journalBacklog = append(d.journalBacklog, m)
	}
}

func (d *Duty) sendJournalBacklog() {
	for len(d.journalBacklog) > 0 && d.Journal.TryPut(d.journalBacklog[0]) == nil {
		d.journalBacklog = d.journalBacklog[1:]
	}
}

// handleJournalReply makes a reserved run-once request eligible for placement,
// or replies with what the journal knows of its key.
func (d *Duty) handleJournalReply(reply journal.Reply, now time.Time) {
	if w := d.pendingRefusals[reply.Attempt]; w != nil && !reply.Reserved {
		delete(d.pendingRefusals, reply.Attempt)
		d.replyFromJournal(w, reply)
		return
	}
	w := d.waiters[reply.Attempt]
	if w == nil || w.reservationSent.IsZero() {
		return
	}
	if reply.Reserved {
		w.reserved = true
		reservationSeconds.Observe(now.Sub(w.reservationSent).Seconds())
		if d.isPoison(w.request.Fingerprint, now) {
			d.drop(d.waiting.Remove(reply.Attempt), poisonRefusal())
		}
		return
	}
	d.waiting.Remove(reply.Attempt)
	d.removeWaiter(reply.Attempt)
	d.replyFromJournal(w, reply)
}

// replyFromJournal replies to a request with the journal's refusal or with the
// outcome of an earlier attempt.
func (d *Duty) replyFromJournal(w *waiter, reply journal.Reply) {
	if reply.Refusal != nil {
		d.sendRefusal(w.reply, &w.request, reply.Refusal)
		return
	}
	w.reply.Send(message.GrantReply{Prior: reply.PriorOutcome, ConfigVersion: d.configVersion()})
	d.log.Info("prior outcome returned from the journal", zap.String("request", w.request.RequestID), zap.String("key", w.request.Key))
}

// recordOutcome records the outcome of a run-once attempt in the journal. An
// attempt that was not dispatched, or that the endpoint rejected without
// starting it, is released instead.
func (d *Duty) recordOutcome(o *core.Outcome) {
	if o.Key == "" {
		return
	}
	if o.Result == core.ResultNotDispatched || o.Result == core.ResultRejected {
		d.sendToJournal(inbox.Release{Key: o.Key, Attempt: o.Attempt, ByEntry: true})
		return
	}
	result := o.Result
	if result == core.ResultFailed && o.Status == 0 {
		result = core.ResultLost
	}
	d.sendToJournal(inbox.Finish{Record: journal.Record{Key: o.Key, Attempt: o.Attempt, Result: result,
		Status: o.Status, ResponseBody: o.ResponseBody, ContentType: o.ContentType, ResponseComplete: o.ResponseBody != nil}})
}
