package journal

import (
	"time"

	"kingcupcourse/internal/core"
)

// ReserveRequest asks for permission to run one attempt for a key.
type ReserveRequest struct {
	Key, Attempt, Fingerprint string
}

// Reserve reserves a key for an attempt. The reply follows once the reservation
// is stored in the platform, or immediately if the key cannot be reserved.
func (m *Machine) Reserve(req ReserveRequest, now time.Time) {
	switch {
	case m.takeoverPending() && (m.platformDown || len(m.deferred) >= maxDeferred):
		m.replyRefusal(req.Attempt, core.RefuseWithRetry(core.ReasonJournalUnavailable, "the platform does not answer", retryAfter))
	case m.takeoverPending():
		m.deferred = append(m.deferred, func(now time.Time) { m.Reserve(req, now) })
	case m.state != stateOwner || !m.shouldOwn:
		m.replyRefusal(req.Attempt, core.RefuseWithRetry(core.ReasonJournalUnavailable, "the pool's journal is not owned here", retryAfter))
	case !m.keyAccepted(req.Key, now):
		m.replyRefusal(req.Attempt, core.Refuse(core.ReasonKeyExpired, "the key's time is outside the retention"))
	default:
		m.replyKnownOrReserve(req, now)
	}
}

func (m *Machine) replyKnownOrReserve(req ReserveRequest, now time.Time) {
	k := m.keys[req.Key]
	switch {
	case k == nil:
		m.addReservation(req, now)
	case k.fingerprint != req.Fingerprint:
		m.replyRefusal(req.Attempt, core.Refuse(core.ReasonKeyReused, "the key was used for another request"))
	case k.finish != nil:
		m.replies = append(m.replies, replyFinished(req.Attempt, k.finish))
	case k.attempt != req.Attempt:
		m.replyRefusal(req.Attempt, &core.Refusal{Disposition: core.OutcomeUnknown, Reason: core.ReasonInProgress,
			Detail: "an earlier attempt with the key may be running", Retry: true, RetryAfter: retryAfter})
	case k.durable:
		m.replies = append(m.replies, Reply{Attempt: req.Attempt, Reserved: true})
	default:
		k.awaitingReply = true
	}
}

// RefuseUnreserved replies to an attempt that the queue refuses before it is
// reserved. If the key is already known, the reply is the same as for Reserve.
// The refusal is passed on as not run only if the owner knows that no other
// attempt with the key was reserved. Without ownership the outcome is unknown,
// because an earlier attempt may have run.
func (m *Machine) RefuseUnreserved(req ReserveRequest, refusal *core.Refusal, now time.Time) {
	k := m.keys[req.Key]
	switch {
	case m.state != stateOwner:
		unknown := *refusal
		unknown.Disposition, unknown.Retry = core.OutcomeUnknown, true
		m.replyRefusal(req.Attempt, &unknown)
	case k == nil || k.attempt == req.Attempt && k.finish == nil:
		m.replyRefusal(req.Attempt, refusal)
	default:
		m.replyKnownOrReserve(req, now)
	}
}

func (m *Machine) addReservation(req ReserveRequest, now time.Time) {
	switch {
	case m.platformDown:
		m.replyRefusal(req.Attempt, core.RefuseWithRetry(core.ReasonJournalUnavailable, "the platform does not answer", retryAfter))
		return
	case !m.canWriteNext(now):
		m.replyRefusal(req.Attempt, core.RefuseWithRetry(core.ReasonJournalUnavailable,
			"the journal is full of keys that must be remembered", retryAfter))
		return
	}
	at, _ := KeyTime(req.Key)
	m.keys[req.Key] = &key{attempt: req.Attempt, fingerprint: req.Fingerprint, time: at, awaitingReply: true, reservedHere: true}
	m.pending = append(m.pending, Record{Kind: KindReserve, Key: req.Key, Attempt: req.Attempt,
		Fingerprint: req.Fingerprint, Time: now})
}

// Release cancels the reservation of an attempt that will never be dispatched.
// Only the entry that requested the attempt knows this for certain. The queue
// of an owner only knows that it sent no grant itself: after a change of
// ownership, another owner may have sent one. A release that does not come from
// the entry therefore applies only to a reservation made in the current
// ownership.
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

// Finish records the outcome of the attempt for a key. Results other than OK
// and Failed are replayed as an unknown outcome.
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

// replyFinished returns the reply to a retry of a finished key.
func replyFinished(attempt string, finish *Record) Reply {
	if finish.Result != core.ResultOK && finish.Result != core.ResultFailed {
		return Reply{Attempt: attempt, Refusal: &core.Refusal{Disposition: core.OutcomeUnknown,
			Reason: core.ReasonEndpointFailed, Detail: "an earlier attempt with the key may have run"}}
	}
	return Reply{Attempt: attempt, PriorOutcome: &core.PriorOutcome{Status: finish.Status, ResponseBody: finish.ResponseBody,
		ContentType: finish.ContentType, Complete: finish.ResponseComplete}}
}
