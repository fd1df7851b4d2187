package queue

import (
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/estimate"
	"kingcupcourse/internal/decision/journal"
	"kingcupcourse/internal/decision/placement"
	waitlist "kingcupcourse/internal/decision/queue"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/scheduler/inbox"
)

const (
	defaultOutputTokens = estimate.DefaultOutputTokens
	// noEndpointRetry is when to ask again while no endpoint can take the
	// request.
	noEndpointRetry = time.Second
	// minRetry is the shortest hint when to ask again.
	minRetry = 100 * time.Millisecond
)

// arrive admits a request to the queue or refuses it.
func (d *Duty) arrive(m inbox.Grant, now time.Time) {
	request := coreRequest(&m.Request)
	if d.turnAway(m, now) || d.repeated(m) {
		return
	}
	item := &waitlist.Item{ID: m.Request.Attempt, Request: request, Weight: d.weight(request.Account)}
	if refusal := d.admit(item, &m.Request, now); refusal != nil {
		d.refuse(m.Reply, &m.Request, refusal)
		return
	}
	shed, ok := d.waiting.Add(item)
	for _, victim := range shed {
		d.drop(victim, core.RefuseWithRetry(core.ReasonShed, "a more important request needed the place", d.hint()))
	}
	if !ok {
		if d.waiting.HasLessImportant(request.Tier) {
			inversions.WithLabelValues(d.Shard.Pool).Inc()
		}
		d.refuse(m.Reply, &m.Request, core.RefuseWithRetry(core.ReasonQueueFull, "the queue is full", d.hint()))
		return
	}
	w := &waiter{reply: m.Reply, request: m.Request, arrived: now}
	d.waiters[item.ID] = w
	d.reserve(w, now)
	d.soon(now)
}

// turnAway answers requests that this scheduler must not queue.
func (d *Duty) turnAway(m inbox.Grant, now time.Time) bool {
	switch {
	case d.view == nil || d.view.Manifest == nil:
		d.refuse(m.Reply, &m.Request, core.RefuseWithRetry(core.ReasonNotReady, "no manifest yet", noEndpointRetry))
	case !d.owned:
		d.refuse(m.Reply, &m.Request, d.notOwner())
	case m.Request.Key == "" && d.poisonous(m.Request.Fingerprint, now):
		d.refuse(m.Reply, &m.Request, poisonRefusal())
	default:
		return false
	}
	return true
}

func poisonRefusal() *core.Refusal {
	return core.Refuse(core.ReasonPoison, "endpoints died under this request")
}

// repeated handles an attempt that was asked for before: one that waits goes
// on waiting for the new asker, one that was granted is granted again.
func (d *Duty) repeated(m inbox.Grant) bool {
	if w := d.waiters[m.Request.Attempt]; w != nil {
		w.reply.Abandon(ring.ErrAbandoned)
		w.reply = m.Reply
		return true
	}
	attempt := d.book.Get(m.Request.Attempt)
	if attempt == nil || d.fleet[attempt.Endpoint] == nil {
		return false
	}
	m.Reply.Send(d.granted(d.fleet[attempt.Endpoint], m.Request.Attempt))
	return true
}

// admit fills in the item's estimates and refuses what cannot be done in
// time. Only running work and the waiting work of its own and more important
// tiers count as ahead of it.
func (d *Duty) admit(item *waitlist.Item, r *message.GrantRequest, now time.Time) *core.Refusal {
	need := placement.Query{Request: &item.Request, Now: now}
	d.survey(now)
	d.suit(r, &item.Request, now)
	pool, ok := d.measure(&need)
	if !ok {
		return core.RefuseWithRetry(core.ReasonNoEndpoint, "no endpoint can take the request", noEndpointRetry)
	}
	item.Tokens = item.Request.PromptTokens + d.outputTokens(&item.Request, usualQuantile)
	item.SlotTime = pool.mean
	item.LatestStart = item.Request.Deadline.Add(-pool.best)
	left := need.TimeLeft()
	switch {
	case left <= 0:
		return core.Refuse(core.ReasonDeadlinePassed, "the deadline has passed")
	case pool.best > left:
		return core.Refuse(core.ReasonDeadlineTooSoon, "no endpoint is fast enough for the deadline")
	}
	if wait := pool.start(d.waiting.SlotTimeAhead(item)); wait+pool.best > left {
		return core.RefuseWithRetry(core.ReasonDeadlineTooSoon, "the work ahead does not leave enough time", max(minRetry, wait))
	}
	return nil
}

// hint is how long the queue needs to work off what waits.
func (d *Duty) hint() time.Duration {
	slots := 0
	for i := range d.candidates {
		slots += d.candidates[i].Endpoint.Slots
	}
	return max(minRetry, d.waiting.TotalSlotTime()/time.Duration(max(1, slots)))
}

func (d *Duty) weight(account string) float64 { return orDefault(d.accounts[account], defaultWeight) }

// reserve asks the journal for the key of a run-once request, while the
// request waits in the queue.
func (d *Duty) reserve(w *waiter, now time.Time) {
	if w.request.Key == "" {
		return
	}
	w.asked = now
	if d.Journal.TryPut(inbox.Ask{Ask: ask(&w.request)}) != nil {
		d.drop(d.waiting.Remove(w.request.Attempt), core.RefuseWithRetry(core.ReasonJournalUnavailable, "the journal is busy", minRetry))
	}
}

func ask(r *message.GrantRequest) journal.ReserveRequest {
	return journal.ReserveRequest{Key: r.Key, Attempt: r.Attempt, Fingerprint: r.Fingerprint}
}

func coreRequest(r *message.GrantRequest) core.Request {
	return core.Request{
		ID: r.RequestID, Account: r.Account, Tier: max(1, r.Tier), Pool: r.Pool, Route: r.Route, Key: r.Key,
		Fingerprint: r.Fingerprint, PromptTokens: r.PromptTokens, MaxOutputTokens: r.MaxOutputTokens,
		PrefixBlocks: r.PrefixBlocks, Exclude: r.Exclude, Deadline: time.UnixMilli(r.DeadlineUnixMS),
	}
}
