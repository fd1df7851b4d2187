package journal

import (
	"time"

	"kingcupcourse/internal/core"
)

// Ask is the wish to run one attempt of a key.
type Ask struct {
	Key, Attempt, Fingerprint string
}

// Ask reserves a key for an attempt. The answer comes when the reservation
// is in the platform, or at once if the key cannot be reserved.
func (m *Machine) Ask(ask Ask, now time.Time) {
	switch {
	case m.holds() && (m.down || len(m.held) >= maxHeld):
		m.refuse(ask.Attempt, core.RefuseWithRetry(core.ReasonJournalUnavailable, "the platform does not answer", retryHint))
	case m.holds():
		m.held = append(m.held, func(now time.Time) { m.Ask(ask, now) })
	case m.state != stateOwner || !m.wanted:
		m.refuse(ask.Attempt, core.RefuseWithRetry(core.ReasonJournalUnavailable, "the pool's journal is not owned here", retryHint))
	case !m.keyInForce(ask.Key, now):
		m.refuse(ask.Attempt, core.Refuse(core.ReasonKeyExpired, "the key's time is outside the retention"))
	default:
		m.lookUp(ask, now)
	}
}

func (m *Machine) lookUp(ask Ask, now time.Time) {
	k := m.keys[ask.Key]
	switch {
	case k == nil:
		m.reserve(ask, now)
	case k.fingerprint != ask.Fingerprint:
		m.refuse(ask.Attempt, core.Refuse(core.ReasonKeyReused, "the key was used for another request"))
	case k.finish != nil:
		m.answers = append(m.answers, prior(ask.Attempt, k.finish))
	case k.attempt != ask.Attempt:
		m.refuse(ask.Attempt, &core.Refusal{Disposition: core.OutcomeUnknown, Reason: core.ReasonInProgress,
			Detail: "an earlier attempt with the key may be running", Retry: true, RetryAfter: retryHint})
	case k.durable:
		m.answers = append(m.answers, Answer{Attempt: ask.Attempt, Reserved: true})
	default:
		k.waiting = true
	}
}

// Refuse answers an attempt that the queue refuses before it was reserved. A
// key that is known gets what is known of it. The refusal stands as not run
// only if the owner knows that no attempt of the key was reserved; while it
// does not know that, an earlier attempt may have run.
func (m *Machine) Refuse(ask Ask, refusal *core.Refusal, now time.Time) {
	k := m.keys[ask.Key]
	switch {
	case m.state != stateOwner:
		unknown := *refusal
		unknown.Disposition, unknown.Retry = core.OutcomeUnknown, true
		m.refuse(ask.Attempt, &unknown)
	case k == nil || k.attempt == ask.Attempt && k.finish == nil:
		m.refuse(ask.Attempt, refusal)
	default:
		m.lookUp(ask, now)
	}
}

func (m *Machine) reserve(ask Ask, now time.Time) {
	switch {
	case m.down:
		m.refuse(ask.Attempt, core.RefuseWithRetry(core.ReasonJournalUnavailable, "the platform does not answer", retryHint))
		return
	case !m.hasRoom(now):
		m.refuse(ask.Attempt, core.RefuseWithRetry(core.ReasonJournalUnavailable,
			"the journal is full of keys that must be remembered", retryHint))
		return
	}
	at, _ := KeyTime(ask.Key)
	m.keys[ask.Key] = &key{attempt: ask.Attempt, fingerprint: ask.Fingerprint, time: at, waiting: true, own: true}
	m.gathered = append(m.gathered, Record{Kind: KindReserve, Key: ask.Key, Attempt: ask.Attempt,
		Fingerprint: ask.Fingerprint, Time: now})
}

// Release takes back the reservation of an attempt that will never be
// dispatched. Only the entry that asked for the attempt can know that for
// good. The queue of an owner knows just that it gave no grant itself: after
// a change of ownership the next owner may have given it. So a release that
// does not come from the entry counts only for a reservation that was made in
// the present ownership.
func (m *Machine) Release(name, attempt string, byEntry bool, now time.Time) {
	if m.holds() && byEntry {
		m.held = append(m.held, func(now time.Time) { m.Release(name, attempt, byEntry, now) })
	}
	if m.state != stateOwner {
		return
	}
	k := m.keys[name]
	if k == nil || k.attempt != attempt || k.finish != nil || (!byEntry && !k.own) {
		return
	}
	delete(m.keys, name)
	m.gathered = append(m.gathered, Record{Kind: KindRelease, Key: name, Attempt: attempt, Time: now, byEntry: byEntry})
}

// Finish records how the attempt of a key ended. Results other than OK and
// Failed are recorded as an unknown outcome.
func (m *Machine) Finish(finish Record, now time.Time) {
	if m.holds() {
		m.held = append(m.held, func(now time.Time) { m.Finish(finish, now) })
	}
	if m.state != stateOwner {
		return
	}
	k := m.keys[finish.Key]
	if k == nil || k.attempt != finish.Attempt || k.finish != nil {
		return
	}
	finish.Kind, finish.Fingerprint, finish.Time = KindFinish, k.fingerprint, now
	if len(finish.Answer) > MaxAnswerBytes {
		finish.Answer, finish.ContentType, finish.Whole = nil, "", false
	}
	k.finish = &finish
	m.gathered = append(m.gathered, finish)
}

// prior is the answer to a resend of a finished key.
func prior(attempt string, finish *Record) Answer {
	if finish.Result != core.ResultOK && finish.Result != core.ResultFailed {
		return Answer{Attempt: attempt, Refusal: &core.Refusal{Disposition: core.OutcomeUnknown,
			Reason: core.ReasonEndpointFailed, Detail: "an earlier attempt with the key may have run"}}
	}
	return Answer{Attempt: attempt, Prior: &core.PriorOutcome{Status: finish.Status, ResponseBody: finish.Answer,
		ContentType: finish.ContentType, Complete: finish.Whole}}
}
