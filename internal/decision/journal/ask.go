package journal

import (
	"time"

	"kingcupcourse/internal/core"
)

// ReserveRequest is the wish to run one attempt of a key.
type ReserveRequest struct {
	Key, Attempt, Fingerprint string
}

// Reserve reserves a key for an attempt. The answer comes when the reservation
// is in the platform, or at once if the key cannot be reserved.
func (m *Machine) Reserve(ask ReserveRequest, now time.Time) {
	switch {
	case m.takeoverPending() && (m.platformDown || len(m.deferred) >= maxDeferred):
		m.replyRefusal(ask.Attempt, core.RefuseWithRetry(core.ReasonJournalUnavailable, "the platform does not answer", retryAfter))
	case m.takeoverPending():
		m.deferred = append(m.deferred, func(now time.Time) { m.Reserve(ask, now) })
	case m.state != stateOwner || !m.shouldOwn:
		m.replyRefusal(ask.Attempt, core.RefuseWithRetry(core.ReasonJournalUnavailable, "the pool's journal is not owned here", retryAfter))
	case !m.keyAccepted(ask.Key, now):
		m.replyRefusal(ask.Attempt, core.Refuse(core.ReasonKeyExpired, "the key's time is outside the retention"))
	default:
		m.answerKnownOrReserve(ask, now)
	}
}

func (m *Machine) answerKnownOrReserve(ask ReserveRequest, now time.Time) {
	k := m.keys[ask.Key]
	switch {
	case k == nil:
		m.addReservation(ask, now)
	case k.fingerprint != ask.Fingerprint:
		m.replyRefusal(ask.Attempt, core.Refuse(core.ReasonKeyReused, "the key was used for another request"))
	case k.finish != nil:
		m.replies = append(m.replies, replyFinished(ask.Attempt, k.finish))
	case k.attempt != ask.Attempt:
		m.replyRefusal(ask.Attempt, &core.Refusal{Disposition: core.OutcomeUnknown, Reason: core.ReasonInProgress,
			Detail: "an earlier attempt with the key may be running", Retry: true, RetryAfter: retryAfter})
	case k.durable:
		m.replies = append(m.replies, Reply{Attempt: ask.Attempt, Reserved: true})
	default:
		k.awaitingReply = true
	}
}

// RefuseUnreserved answers an attempt that the queue refuses before it was reserved. A
// key that is known gets what is known of it. The refusal stands as not run
// only if the owner knows that no attempt of the key was reserved; while it
// does not know that, an earlier attempt may have run.
func (m *Machine) RefuseUnreserved(ask ReserveRequest, refusal *core.Refusal, now time.Time) {
	k := m.keys[ask.Key]
	switch {
	case m.state != stateOwner:
		unknown := *refusal
		unknown.Disposition, unknown.Retry = core.OutcomeUnknown, true
		m.replyRefusal(ask.Attempt, &unknown)
	case k == nil || k.attempt == ask.Attempt && k.finish == nil:
		m.replyRefusal(ask.Attempt, refusal)
	default:
		m.answerKnownOrReserve(ask, now)
	}
}

func (m *Machine) addReservation(ask ReserveRequest, now time.Time) {
	switch {
	case m.platformDown:
		m.replyRefusal(ask.Attempt, core.RefuseWithRetry(core.ReasonJournalUnavailable, "the platform does not answer", retryAfter))
		return
	case !m.canWriteNext(now):
		m.replyRefusal(ask.Attempt, core.RefuseWithRetry(core.ReasonJournalUnavailable,
			"the journal is full of keys that must be remembered", retryAfter))
		return
	}
	at, _ := KeyTime(ask.Key)
	m.keys[ask.Key] = &key{attempt: ask.Attempt, fingerprint: ask.Fingerprint, time: at, awaitingReply: true, reservedHere: true}
	m.pending = append(m.pending, Record{Kind: KindReserve, Key: ask.Key, Attempt: ask.Attempt,
		Fingerprint: ask.Fingerprint, Time: now})
}

// Release takes back the reservation of an attempt that will never be
// dispatched. Only the entry that asked for the attempt can know that for
// good. The queue of an owner knows just that it gave no grant itself: after
// a change of ownership the next owner may have given it. So a release that
// does not come from the entry counts only for a reservation that was made in
// the present ownership.
func (m *Machine) Release(name, attempt string, byEntry bool, now time.Time) {
	if m.takeoverPending() && byEntry {
		m.deferred = append(m.deferred, func(now time.Time) { m.Release(name, attempt, byEntry, now) })
	}
	if m.state != stateOwner {
		return
	}
	k := m.keys[name]
	if k == nil || k.attempt != attempt || k.finish != nil || (!byEntry && !k.reservedHere) {
		return
	}
	delete(m.keys, name)
	m.pending = append(m.pending, Record{Kind: KindRelease, Key: name, Attempt: attempt, Time: now, fromEntry: byEntry})
}

// Finish records how the attempt of a key ended. Results other than OK and
// Failed are recorded as an unknown outcome.
func (m *Machine) Finish(finish Record, now time.Time) {
	if m.takeoverPending() {
		m.deferred = append(m.deferred, func(now time.Time) { m.Finish(finish, now) })
	}
	if m.state != stateOwner {
		return
	}
	k := m.keys[finish.Key]
	if k == nil || k.attempt != finish.Attempt || k.finish != nil {
		return
	}
	finish.Kind, finish.Fingerprint, finish.Time = KindFinish, k.fingerprint, now
	if len(finish.ResponseBody) > MaxResponseBytes {
		finish.ResponseBody, finish.ContentType, finish.ResponseComplete = nil, "", false
	}
	k.finish = &finish
	m.pending = append(m.pending, finish)
}

// replyFinished is the answer to a resend of a finished key.
func replyFinished(attempt string, finish *Record) Reply {
	if finish.Result != core.ResultOK && finish.Result != core.ResultFailed {
		return Reply{Attempt: attempt, Refusal: &core.Refusal{Disposition: core.OutcomeUnknown,
			Reason: core.ReasonEndpointFailed, Detail: "an earlier attempt with the key may have run"}}
	}
	return Reply{Attempt: attempt, PriorOutcome: &core.PriorOutcome{Status: finish.Status, ResponseBody: finish.ResponseBody,
		ContentType: finish.ContentType, Complete: finish.ResponseComplete}}
}
